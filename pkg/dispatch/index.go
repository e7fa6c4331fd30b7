package dispatch

import "carawayknot.example/carawayknot/pkg/catalogue"

// Index has the upstreams of a snapshot that may get new work, by what they serve.
type Index struct {
	Snapshot  *catalogue.Snapshot
	byVersion map[catalogue.VersionID][]*catalogue.Upstream
	byService map[string][]*catalogue.Upstream
}

// NewIndex sorts the permitted upstreams of the snapshot.
func NewIndex(s *catalogue.Snapshot) *Index {
	x := &Index{
		Snapshot:  s,
		byVersion: map[catalogue.VersionID][]*catalogue.Upstream{},
		byService: map[string][]*catalogue.Upstream{},
	}
	for _, u := range s.Upstreams {
		if s.PermitListed(u) != nil {
			continue
		}
		if u.Service != "" {
			x.byService[u.Service] = append(x.byService[u.Service], u)
		}
		for _, v := range u.Versions {
			x.byVersion[v] = append(x.byVersion[v], u)
		}
	}
	return x
}

// Versions returns the upstreams that serve the version.
func (x *Index) Versions(id catalogue.VersionID) []*catalogue.Upstream { return x.byVersion[id] }

// Services returns the upstreams of the plain service.
func (x *Index) Services(name string) []*catalogue.Upstream { return x.byService[name] }
