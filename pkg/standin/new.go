package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice/fake"
)

// reportTimeout bounds one report of an answer to the ratings stand-in.
const reportTimeout = 2 * time.Second

// Names returns the names of the stand-ins that New can make.
func Names() []string { return []string{"log", "list", "ratings", "weights", "engine", "service"} }

// New returns the stand-in with a name of Names and with faults given as JSON; unless ratingsURL is empty, an engine reports its
// answers to the ratings stand-in at that base URL.
func New(name, faults, ratingsURL string) (StandIn, error) {
	switch name {
	case "log":
		s := NewLog()
		return s, s.Faults.Apply([]byte(faults))
	case "list":
		s := NewList()
		return s, s.Faults.Apply([]byte(faults))
	case "ratings":
		s := NewRatings()
		return s, s.Faults.Apply([]byte(faults))
	case "weights":
		s := &Weights{}
		return s, s.Faults.Apply([]byte(faults))
	case "engine":
		s := NewEngine(EngineFaults{})
		if ratingsURL != "" {
			s.OnAnswer = answerReporter(ratingsURL)
		}
		return s, s.Faults.Apply([]byte(faults))
	case "service":
		s := &Service{}
		return s, s.Faults.Apply([]byte(faults))
	}
	return nil, errors.Newf("unknown stand-in %q", name)
}

// answerReporter returns a function that sends an answer to the ratings stand-in in the background and ignores errors.
func answerReporter(baseURL string) func(fake.Answer) {
	return func(a fake.Answer) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			raw, _ := json.Marshal(a)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/answers", bytes.NewReader(raw))
			if err != nil {
				return
			}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
}
