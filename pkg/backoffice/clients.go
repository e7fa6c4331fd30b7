package backoffice

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// Ratings is the HTTP client of the service that rates answers; it is safe for concurrent use.
type Ratings struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// HTTP is optional; nil uses a client shared by the package.
	HTTP *http.Client
}

const ratingService = "ratings"

// Ratings returns up to limit ratings, starting at position from; its errors are *UnavailableError, *ReplyError and *StatusError.
func (r *Ratings) Ratings(ctx context.Context, from int64, limit int) (RatingBatch, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "max": {strconv.Itoa(limit)}}
	c := &call{service: ratingService, client: r.HTTP, method: http.MethodGet, url: r.BaseURL + "/ratings?" + query.Encode()}
	var out RatingBatch
	err := c.doJSON(ctx, http.StatusOK, &out)
	return out, err
}

// Rate returns the score of one answer, from 0 to 1; its errors are *UnavailableError and *StatusError.
func (r *Ratings) Rate(ctx context.Context, req RateRequest) (float64, error) {
	c := &call{service: ratingService, client: r.HTTP, method: http.MethodPost, url: r.BaseURL + "/rate", payload: req}
	var out RateReply
	err := c.doJSON(ctx, http.StatusOK, &out)
	return out.Score, err
}

// Weights is the HTTP client of the weight store; it is safe for concurrent use.
type Weights struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// HTTP is optional; nil uses a client shared by the package.
	HTTP *http.Client
}

// Fetch has the store fetch the weights of a version; if the rate limit of the store is exceeded, the error wraps
// *RateLimitedError.
func (w *Weights) Fetch(ctx context.Context, version catalogue.VersionID) error {
	req := struct{ Version catalogue.VersionID }{version}
	c := &call{service: "weights", client: w.HTTP, method: http.MethodPost, url: w.BaseURL + "/fetches", payload: req}
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	if rep.status != http.StatusAccepted {
		return c.unexpectedStatus(rep)
	}
	return nil
}
