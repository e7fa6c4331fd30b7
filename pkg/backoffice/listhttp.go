package backoffice

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

// AsOfHeader is the header that carries Listing.AsOf in a 304 response, in milliseconds of wall time.
const AsOfHeader = "As-Of"

// List is the HTTP client of the instance list; it is safe for concurrent use.
type List struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// HTTP is optional; nil uses a client shared by the package.
	HTTP *http.Client

	mu     sync.Mutex
	etag   string
	cached Listing
}

// Instances returns the instance list, whose slice callers must not modify, as later calls return it again while the list is
// unchanged; its errors are *UnavailableError, *ReplyError and *StatusError.
func (l *List) Instances(ctx context.Context) (Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &call{service: "list", client: l.HTTP, method: http.MethodGet, url: l.BaseURL + "/instances", etag: l.etag}
	rep, err := c.do(ctx)
	if err != nil {
		return Listing{}, err
	}
	switch rep.status {
	case http.StatusOK:
		return l.store(c, rep)
	case http.StatusNotModified:
		return l.refresh(c, rep)
	}
	return Listing{}, c.unexpectedStatus(rep)
}

// store decodes a full list and caches it with its ETag; l.mu is held.
func (l *List) store(c *call, rep *reply) (Listing, error) {
	var out Listing
	if err := json.Unmarshal(rep.body, &out); err != nil {
		return Listing{}, &ReplyError{Service: c.service, Cause: err}
	}
	l.etag, l.cached = rep.header.Get("ETag"), out
	return out, nil
}

// refresh returns the cached list with the time of the 304 response; l.mu is held.
func (l *List) refresh(c *call, rep *reply) (Listing, error) {
	asOf, err := strconv.ParseInt(rep.header.Get(AsOfHeader), 10, 64)
	if err != nil {
		// Makes the next call fetch the full list.
		l.etag = ""
		return Listing{}, &ReplyError{Service: c.service, Cause: errors.Wrap(err, AsOfHeader)}
	}
	l.cached.AsOf = clock.Millis(asOf)
	return l.cached, nil
}
