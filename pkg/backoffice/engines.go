package backoffice

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// Engines is the HTTP client of the control API of model engines and plain services; it is safe for concurrent use.
type Engines struct {
	// HTTP is optional; nil uses a client shared by the package.
	HTTP *http.Client
}

// Load returns the load report of the upstream at address (host:port); its errors are *UnavailableError, *ReplyError and
// *StatusError.
func (e *Engines) Load(ctx context.Context, address string) (LoadReport, error) {
	var out LoadReport
	err := e.call(http.MethodGet, address, "/load").doJSON(ctx, http.StatusOK, &out)
	return out, err
}

// CacheEvents returns the engine's cache events, starting at sequence number from, with a delay and possibly with gaps; its
// errors are *UnavailableError, *ReplyError and *StatusError.
func (e *Engines) CacheEvents(ctx context.Context, address string, from int64) (CacheEvents, error) {
	var out CacheEvents
	path := "/cache/events?from=" + strconv.FormatInt(from, 10)
	err := e.call(http.MethodGet, address, path).doJSON(ctx, http.StatusOK, &out)
	return out, err
}

// Order sends the engine an order; its errors are *FencedError if the fencing token is outdated, *UnavailableError, with
// OutcomeUnknown set if the engine may have received the order, *ReplyError and *StatusError.
func (e *Engines) Order(ctx context.Context, address string, o Order) error {
	c := e.call(http.MethodPost, address, "/orders")
	c.payload = o
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	switch rep.status {
	case http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return c.fencedError(rep, address, o)
	}
	return c.unexpectedStatus(rep)
}

// fencedError returns the error for an order that the engine rejected with 409.
func (c *call) fencedError(rep *reply, address string, o Order) error {
	var newest struct{ Newest int64 }
	if err := c.unmarshal(rep, &newest); err != nil {
		return err
	}
	return &FencedError{Engine: address, Fence: o.Fence, Newest: newest.Newest}
}

// Cancel stops a request, which the engine retains for resumption if keep is set; an unknown request is no error, and its errors
// are *UnavailableError and *StatusError.
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
	return c.unexpectedStatus(rep)
}

func (e *Engines) call(method, address, path string) *call {
	return &call{service: "engine " + address, client: e.HTTP, method: method, url: "http://" + address + path}
}
