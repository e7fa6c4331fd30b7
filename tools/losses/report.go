package main

import (
	"cmp"
	"encoding/json"
	"slices"
)

const (
	// minPrice is the smallest price that is printed, as a part of the worth.
	minPrice = 0.001
	// maxWindows is the number of windows that are printed.
	maxWindows = 6
)

// report is the part of a report that tells of losses.
type report struct {
	Parts    []part     `json:"parts"`
	Prices   []price    `json:"prices"`
	Classes  []group    `json:"classes"`
	Windows  []group    `json:"windows"`
	Unserved []unserved `json:"unserved_by"`
}

// part is a part of the worth: its weight and its value, from 0 to 1.
type part struct {
	Name          string
	Weight, Value float64
}

// price is a cost that is taken off the worth.
type price struct {
	Name         string
	Amount, Cost float64
}

// group is the requests of a route or of a window of two seconds.
type group struct {
	Name    string  `json:"name"`
	N       int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// unserved is the requests whose last try ended alike, with the course of the first of them.
type unserved struct {
	End      string
	Requests int
	First    []string
}

// UnmarshalJSON decodes [name, weight, value].
func (p *part) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.Name, &p.Weight, &p.Value})
}

// UnmarshalJSON decodes [name, amount, cost].
func (p *price) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.Name, &p.Amount, &p.Cost})
}

// UnmarshalJSON decodes [end, requests, lines].
func (u *unserved) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&u.End, &u.Requests, &u.First})
}

func (g *group) owed() int { return g.N - g.NotOwed }

// worth returns the weighted parts less the prices.
func (r *report) worth() float64 {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight * p.Value
	}
	for _, p := range r.Prices {
		sum -= p.Cost
	}
	return sum
}

func (r *report) largestPrices() []price {
	large := slices.DeleteFunc(slices.Clone(r.Prices), func(p price) bool { return p.Cost < minPrice })
	slices.SortFunc(large, func(a, b price) int { return cmp.Compare(b.Cost, a.Cost) })
	return large
}

// worstWindows returns the windows with the most lost requests.
func (r *report) worstWindows() []group {
	lost := func(g *group) float64 { return float64(g.owed()) * (1 - g.Worth) }
	windows := slices.Clone(r.Windows)
	slices.SortStableFunc(windows, func(a, b group) int { return cmp.Compare(lost(&b), lost(&a)) })
	return windows[:min(len(windows), maxWindows)]
}
