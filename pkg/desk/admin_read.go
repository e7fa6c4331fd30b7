package desk

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// defaultHistoryLimit is the number of changes that the history returns without a limit.
const defaultHistoryLimit = 50

// VersionView is a version with its rollout, its health and the upstreams that have it loaded.
type VersionView struct {
	Version  *catalogue.Version
	Revision catalogue.Revision
	Rollout  *catalogue.Rollout `json:",omitempty"`
	Health   []catalogue.Health
	// Upstreams has the names of the model engines that have the version loaded.
	Upstreams []string
}

// ZoneView is an availability zone with the names of the upstreams and instances in it.
type ZoneView struct {
	Name      string
	Out       bool
	Revision  catalogue.Revision
	Upstreams []string
	Members   []string
}

func (a *AdminHandler) getConfig(w http.ResponseWriter, _ *http.Request) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	config := *s.Config
	config.History = nil
	writeJSON(w, http.StatusOK, config)
	return nil
}

func (a *AdminHandler) getHistory(w http.ResponseWriter, r *http.Request) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	limit := defaultHistoryLimit
	if v := r.URL.Query().Get("limit"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 {
			return refuseField("limit", "want a whole number above 0")
		}
	}
	h := s.Config.History
	h = slices.Clone(h[max(0, len(h)-limit):])
	slices.Reverse(h)
	writeJSON(w, http.StatusOK, h)
	return nil
}

func (a *AdminHandler) getState(w http.ResponseWriter, r *http.Request) error {
	switch scope := r.URL.Query().Get("scope"); scope {
	case "", "one":
		writeJSON(w, http.StatusOK, a.Operators.Dump(r.Context()))
	case "all":
		writeJSON(w, http.StatusOK, a.Operators.DumpAll(r.Context()))
	default:
		return refuseField("scope", "want one or all")
	}
	return nil
}

func (a *AdminHandler) getVersions(w http.ResponseWriter, _ *http.Request) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	out := []VersionView{}
	for id, v := range s.Config.Versions {
		out = append(out, newVersionView(s, id, v))
	}
	slices.SortFunc(out, func(x, y VersionView) int {
		return strings.Compare(string(x.Version.ID), string(y.Version.ID))
	})
	writeJSON(w, http.StatusOK, out)
	return nil
}

func newVersionView(s *catalogue.Snapshot, id catalogue.VersionID, v *catalogue.Version) VersionView {
	view := VersionView{
		Version:   v,
		Revision:  s.Config.ObjectRevision(catalogue.ObjectKey{Kind: catalogue.KindVersion, Name: string(id)}),
		Health:    []catalogue.Health{},
		Upstreams: []string{},
	}
	if ro := s.Config.Rollouts[id.Model()]; ro != nil && (ro.From == id || ro.To == id) {
		view.Rollout = ro
	}
	for k, h := range s.Health {
		if k.Version == id {
			view.Health = append(view.Health, h)
		}
	}
	slices.SortFunc(view.Health, func(x, y catalogue.Health) int { return strings.Compare(x.Task, y.Task) })
	for _, u := range s.Upstreams {
		if u.Serves(id) {
			view.Upstreams = append(view.Upstreams, u.Name)
		}
	}
	return view
}

func (a *AdminHandler) getUpstreams(w http.ResponseWriter, _ *http.Request) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, append([]*catalogue.Upstream{}, s.Upstreams...))
	return nil
}

func (a *AdminHandler) getZones(w http.ResponseWriter, _ *http.Request) error {
	s, err := a.snapshot()
	if err != nil {
		return err
	}
	out := []ZoneView{}
	for _, v := range zoneViews(s) {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(x, y ZoneView) int { return strings.Compare(x.Name, y.Name) })
	writeJSON(w, http.StatusOK, out)
	return nil
}

// zoneViews returns, by name, the zones that are configured or have a listed upstream or instance.
func zoneViews(s *catalogue.Snapshot) map[string]*ZoneView {
	views := map[string]*ZoneView{}
	viewOf := func(name string) *ZoneView {
		v := views[name]
		if v == nil {
			key := catalogue.ObjectKey{Kind: catalogue.KindZone, Name: name}
			v = &ZoneView{Name: name, Out: s.Config.ZoneOut(name), Revision: s.Config.ObjectRevision(key)}
			views[name] = v
		}
		return v
	}
	for name := range s.Config.Zones {
		viewOf(name)
	}
	for _, u := range s.Upstreams {
		v := viewOf(u.Zone)
		v.Upstreams = append(v.Upstreams, u.Name)
	}
	for _, m := range s.Members {
		v := viewOf(m.Zone)
		v.Members = append(v.Members, m.Name)
	}
	return views
}

func (a *AdminHandler) getBill(w http.ResponseWriter, r *http.Request) error {
	id := r.URL.Query().Get("request")
	if id == "" {
		return refuseField("request", "want the id of a request")
	}
	if a.Bills == nil {
		return request.Refuse(request.ReasonNotFound, 0, "this instance keeps no bills")
	}
	bill, found, err := a.Bills.Bill(r.Context(), id)
	if err != nil {
		return err
	}
	if !found {
		return request.Refuse(request.ReasonNotFound, 0, "no bill for request %s yet", id)
	}
	writeJSON(w, http.StatusOK, bill)
	return nil
}
