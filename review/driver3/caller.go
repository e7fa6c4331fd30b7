//go:build review

package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// callerTimeout is the Deadline-Ms of requests.
const callerTimeout = 1500 * time.Millisecond

// answer is what a caller got for one attempt.
type answer struct {
	id     string
	sentAt time.Time
	status int
	body   string
	err    error
}

// send sends one attempt to an instance on a new connection.
func send(in *instance, id, method, path, key, body string) answer {
	a := answer{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.caller+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(b), err
	return a
}
