package desk

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	adminPrefix = "/admin/v1/"
	// maxChangeBytes limits the request body of a change.
	maxChangeBytes = 8 << 20
)

// AdminHandler serves the HTTP API for operators, below /admin/v1/.
type AdminHandler struct {
	settings.Common
	// Key is the bearer token of the operators; an empty one admits nobody.
	Key []byte
	// Operators applies changes and reads the state of the instance.
	Operators Operators
	// Bills is optional; without it no bill is found.
	Bills Bills

	once sync.Once
	mux  *http.ServeMux
}

// ServeHTTP serves a request that carries the admin key and rejects any other.
func (a *AdminHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.once.Do(a.registerRoutes)
	if !a.authorized(bearerToken(r)) {
		writeError(w, request.Refuse(request.ReasonUnauthorized, 0, "send the admin key as Authorization: Bearer <key>"))
		return
	}
	a.mux.ServeHTTP(w, r)
}

// authorized compares digests in constant time, so that the response time reveals nothing about the key.
func (a *AdminHandler) authorized(key string) bool {
	if len(a.Key) == 0 || key == "" {
		return false
	}
	want, got := sha256.Sum256(a.Key), sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

func (a *AdminHandler) registerRoutes() {
	a.mux = http.NewServeMux()
	for _, route := range []struct {
		method string
		path   string
		serve  func(w http.ResponseWriter, r *http.Request) error
	}{
		{http.MethodPost, "changes", a.postChange},
		{http.MethodGet, "config", a.getConfig},
		{http.MethodGet, "history", a.getHistory},
		{http.MethodGet, "state", a.getState},
		{http.MethodGet, "versions", a.getVersions},
		{http.MethodGet, "upstreams", a.getUpstreams},
		{http.MethodGet, "zones", a.getZones},
		{http.MethodGet, "bills", a.getBill},
		{http.MethodPost, "zones/{name}", a.postZone},
		{http.MethodPost, "versions/{name}", a.postVersion},
		{http.MethodPost, "rollouts/{name}", a.postRollout},
		{http.MethodPost, "upstreams/{name}", a.postUpstream},
	} {
		a.mux.HandleFunc(route.method+" "+adminPrefix+route.path, func(w http.ResponseWriter, r *http.Request) {
			if err := route.serve(w, r); err != nil {
				a.handleError(w, r, err)
			}
		})
	}
}

// handleError logs err and writes it as the response, with a hint on how to proceed.
func (a *AdminHandler) handleError(w http.ResponseWriter, r *http.Request, err error) {
	a.Log.WithName("admin").Info("admin request failed", "path", r.URL.Path, "error", err.Error())
	var (
		refusal  *request.Refusal
		invalid  *catalogue.InvalidError
		conflict *catalogue.ConflictError
	)
	switch {
	case errors.As(err, &refusal):
		writeError(w, refusal)
	case errors.As(err, &invalid):
		writeError(w, refuseField(invalid.Field, "%s", invalid.Error()))
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, ErrorBody{
			Outcome: request.NotRun, Reason: ReasonConflict, Field: conflict.Key.String(),
			Detail: conflict.Error() + "; read the configuration again and repeat the change",
		})
	default:
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{
			Outcome: outcomeUnknown, Reason: request.ReasonLogUnavailable, RetryAfter: defaultRetryAfter,
			Detail: err.Error() + "; look into the history for the id of the change before it is made again",
		})
	}
}

// ReasonConflict means that an object has changed since the revision that a change is based on.
const ReasonConflict request.Reason = "Conflict"

// snapshot returns the newest snapshot, or a refusal before the first one.
func (a *AdminHandler) snapshot() (*catalogue.Snapshot, error) {
	s := a.Operators.Snapshot()
	if s == nil {
		return nil, request.Refuse(request.ReasonStaleView, defaultRetryAfter, "the configuration is not known yet, ask again")
	}
	return s, nil
}

// readJSON decodes the body into v and rejects unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return request.Refuse(request.ReasonTooLarge, 0, "the body may have at most %d bytes", maxBytesErr.Limit)
	}
	if err != nil {
		return refuseField("body", "%s", err.Error())
	}
	return nil
}
