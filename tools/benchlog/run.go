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

// run is one entry of the journal.
type run struct {
	Verb  string   `json:"cmd"`
	Site  string   `json:"site"`
	Head  string   `json:"head"`
	Dirty bool     `json:"dirty"`
	Times []string `json:"at"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

// day is one day that was played.
type day struct {
	Name   string  `json:"name"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
	Prices []price `json:"prices"`
	// Broken counts the broken rules by name.
	Broken map[string]json.RawMessage `json:"rules"`
}

// price is what one kind of thing cost.
type price struct {
	Name  string
	Worth float64
}

// UnmarshalJSON reads a name, an amount and a price.
func (p *price) UnmarshalJSON(b []byte) error {
	var amount float64
	return json.Unmarshal(b, &[]any{&p.Name, &amount, &p.Worth})
}

func (r *run) at() time.Time {
	if len(r.Times) == 0 {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, r.Times[0])
	if err != nil {
		return time.Time{}
	}
	return t
}

func (r *run) commit() string {
	c := r.Head[:min(8, len(r.Head))]
	if r.Dirty {
		c += "+"
	}
	return c
}

// read returns the entries of the journal in the order of their times.
func read(dir string) ([]*run, error) {
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
	slices.SortStableFunc(runs, func(a, b *run) int { return a.at().Compare(b.at()) })
	return runs, nil
}

// scores returns the finished scores by site, in the order of their times, and the sites by name.
func scores(runs []*run) (sites []string, of map[string][]*run) {
	of = map[string][]*run{}
	for _, r := range runs {
		if r.Verb == "score" && r.Score != nil && r.Site != "" {
			of[r.Site] = append(of[r.Site], r)
		}
	}
	for site := range of {
		sites = append(sites, site)
	}
	slices.SortFunc(sites, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b)) })
	return sites, of
}
