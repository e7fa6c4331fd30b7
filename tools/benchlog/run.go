package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// run is one journal entry: one command of the bench and its result.
type run struct {
	Verb  string   `json:"cmd"`
	Site  string   `json:"site"`
	Head  string   `json:"head"`
	Dirty bool     `json:"dirty"`
	Times []string `json:"at"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

// day is the result of one simulated day.
type day struct {
	Name   string  `json:"name"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
	Prices []price `json:"prices"`
	// Broken has the violated rules by name.
	Broken map[string]json.RawMessage `json:"rules"`
}

// price is the cost of one kind of resource or event, as a fraction of the day's worth.
type price struct {
	Name  string
	Worth float64
}

// UnmarshalJSON decodes an array of name, amount and price; the amount is dropped.
func (p *price) UnmarshalJSON(b []byte) error {
	var amount float64
	return json.Unmarshal(b, &[]any{&p.Name, &amount, &p.Worth})
}

// startTime returns the zero time if the entry has no valid start time.
func (r *run) startTime() time.Time {
	if len(r.Times) == 0 {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, r.Times[0])
	if err != nil {
		return time.Time{}
	}
	return t
}

// commit returns the first digits of the commit, with a plus sign if the work tree was dirty.
func (r *run) commit() string {
	id := r.Head[:min(8, len(r.Head))]
	if r.Dirty {
		id += "+"
	}
	return id
}

// readJournal returns the entries of a journal folder in the order of their start times.
func readJournal(dir string) ([]*run, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var runs []*run
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &run{}
		if err := json.Unmarshal(b, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		runs = append(runs, r)
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return a.startTime().Compare(b.startTime()) })
	return runs, nil
}

// scoreRuns returns the finished score runs by site, in the order of runs, and the sites in the order of their names, shorter
// names first.
func scoreRuns(runs []*run) (sites []string, runsBySite map[string][]*run) {
	runsBySite = map[string][]*run{}
	for _, r := range runs {
		if r.Verb == "score" && r.Score != nil && r.Site != "" {
			runsBySite[r.Site] = append(runsBySite[r.Site], r)
		}
	}
	for site := range runsBySite {
		sites = append(sites, site)
	}
	slices.SortFunc(sites, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b)) })
	return sites, runsBySite
}
