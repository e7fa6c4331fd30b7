package dispatch

import "carawayknot.example/carawayknot/pkg/catalogue"

// Index groups the upstreams of a snapshot that accept new requests by version and by service.
type Index struct {
	Snapshot  *catalogue.Snapshot
	byVersion map[catalogue.VersionID][]*catalogue.Upstream
	byService map[string][]*catalogue.Upstream
}

// NewIndex returns an index of the permitted upstreams of the snapshot.
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

// ByVersion returns the upstreams that serve the version; the caller must not change the slice.
func (x *Index) ByVersion(id catalogue.VersionID) []*catalogue.Upstream { return x.byVersion[id] }

// ByService returns the upstreams of the plain service; the caller must not change the slice.
func (x *Index) ByService(name string) []*catalogue.Upstream { return x.byService[name] }
