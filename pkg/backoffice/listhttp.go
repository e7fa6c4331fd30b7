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

// AsOfHeader is the header in which an unchanged list tells its time, in wall milliseconds.
const AsOfHeader = "As-Of"

// List is the HTTP client of the list of instances; it is safe for concurrent use.
type List struct {
	// BaseURL has no slash at its end.
	BaseURL string
	// HTTP is optional.
	HTTP *http.Client

	mu   sync.Mutex
	tag  string
	last Listing
}

// Instances returns the list, which lags. A list that did not change since the last call is not sent again: Instances is then the
// same slice, which must not be changed. Its errors are *UnavailableError, *ReplyError and *StatusError.
func (l *List) Instances(ctx context.Context) (Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &call{service: "list", client: l.HTTP, method: http.MethodGet, url: l.BaseURL + "/instances", tag: l.tag}
	rep, err := c.do(ctx)
	if err != nil {
		return Listing{}, err
	}
	switch rep.status {
	case http.StatusOK:
		return l.take(c, rep)
	case http.StatusNotModified:
		return l.renew(c, rep)
	}
	return Listing{}, c.unexpected(rep)
}

func (l *List) take(c *call, rep *reply) (Listing, error) {
	var out Listing
	if err := json.Unmarshal(rep.body, &out); err != nil {
		return Listing{}, &ReplyError{Service: c.service, Cause: err}
	}
	l.tag, l.last = rep.header.Get("ETag"), out
	return out, nil
}

// renew returns the last list with the time at which it was found unchanged.
func (l *List) renew(c *call, rep *reply) (Listing, error) {
	asOf, err := strconv.ParseInt(rep.header.Get(AsOfHeader), 10, 64)
	if err != nil {
		// The next call asks for the whole list.
		l.tag = ""
		return Listing{}, &ReplyError{Service: c.service, Cause: errors.Wrap(err, AsOfHeader)}
	}
	l.last.AsOf = clock.Millis(asOf)
	return l.last, nil
}
