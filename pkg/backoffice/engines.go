package backoffice

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// Engines is the HTTP client of the control side of model engines and plain services; it is safe for concurrent use.
type Engines struct {
	// HTTP is optional.
	HTTP *http.Client
}

// Load returns what the upstream at the address, as host:port, reports of itself.
// Its errors are *UnavailableError, *ReplyError and *StatusError.
func (e *Engines) Load(ctx context.Context, address string) (LoadReport, error) {
	var out LoadReport
	err := e.call(http.MethodGet, address, "/load").decode(ctx, http.StatusOK, &out)
	return out, err
}

// CacheEvents returns the engine's cache events from a sequence number on, late and with gaps.
// Its errors are *UnavailableError, *ReplyError and *StatusError.
func (e *Engines) CacheEvents(ctx context.Context, address string, from int64) (CacheEvents, error) {
	var out CacheEvents
	path := "/cache/events?from=" + strconv.FormatInt(from, 10)
	err := e.call(http.MethodGet, address, path).decode(ctx, http.StatusOK, &out)
	return out, err
}

// Order gives the engine an order.
// Its errors are *FencedError when the fencing number is old, *UnavailableError, with Unknown when the order may have
// arrived, *ReplyError and *StatusError.
func (e *Engines) Order(ctx context.Context, address string, o Order) error {
	c := e.call(http.MethodPost, address, "/orders")
	c.in = o
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	switch rep.status {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return c.fenced(rep, address, o)
	}
	return c.unexpected(rep)
}

func (c *call) fenced(rep *reply, address string, o Order) error {
	var newest struct{ Newest int64 }
	if err := c.unmarshal(rep, &newest); err != nil {
		return err
	}
	return &FencedError{Engine: address, Fence: o.Fence, Newest: newest.Newest}
}

// Cancel stops a request; with keep the engine holds it for resuming. A request the engine does not know is no error.
// Its errors are *UnavailableError and *StatusError.
func (e *Engines) Cancel(ctx context.Context, address, requestID string, keep bool) error {
	path := "/v1/requests/" + url.PathEscape(requestID)
	if keep {
		path += "?keep=true"
	}
	c := e.call(http.MethodDelete, address, path)
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	switch rep.status {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent, http.StatusNotFound:
		return nil
	}
	return c.unexpected(rep)
}

func (e *Engines) call(method, address, path string) *call {
	return &call{service: "engine " + address, client: e.HTTP, method: method, url: "http://" + address + path}
}
