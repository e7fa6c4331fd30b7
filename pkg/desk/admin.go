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
	// changeBytes bounds the body of a change.
	changeBytes = 8 << 20
)

// Admin is the HTTP interface for operators.
type Admin struct {
	settings.Common
	// Key is what operators send as the bearer key.
	Key []byte
	// Operators carries out what operators ask for.
	Operators Operators
	// Bills is optional.
	Bills Bills

	once sync.Once
	mux  *http.ServeMux
}

// ServeHTTP answers an operator who has the key.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.once.Do(a.route)
	if !a.knows(bearer(r)) {
		writeError(w, request.Refuse(request.ReasonUnauthorized, 0, "send the admin key as Authorization: Bearer <key>"))
		return
	}
	a.mux.ServeHTTP(w, r)
}

// knows compares digests, so that the time taken tells nothing of the key.
func (a *Admin) knows(key string) bool {
	if len(a.Key) == 0 || key == "" {
		return false
	}
	want, got := sha256.Sum256(a.Key), sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}

func (a *Admin) route() {
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
				a.fail(w, r, err)
			}
		})
	}
}

// fail writes the error and how to go on.
func (a *Admin) fail(w http.ResponseWriter, r *http.Request, err error) {
	a.Log.WithName("admin").Info("refused an operator", "path", r.URL.Path, "error", err.Error())
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
			Outcome: outcomeUnknown, Reason: request.ReasonLogUnavailable, RetryAfter: retrySoon,
			Detail: err.Error() + "; look into the history for the id of the change before it is made again",
		})
	}
}

// ReasonConflict says that an object has changed since the revision that a change is based on.
const ReasonConflict request.Reason = "Conflict"

// snapshot returns the newest snapshot or a refusal.
func (a *Admin) snapshot() (*catalogue.Snapshot, error) {
	s := a.Operators.Snapshot()
	if s == nil {
		return nil, request.Refuse(request.ReasonStaleView, retrySoon, "the configuration is not known yet, ask again")
	}
	return s, nil
}

// readJSON reads the body strictly into v.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, changeBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return request.Refuse(request.ReasonTooLarge, 0, "the body may have at most %d bytes", large.Limit)
	}
	if err != nil {
		return refuseField("body", "%s", err.Error())
	}
	return nil
}
