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

// reportTimeout bounds telling the ratings stand-in of an answer.
const reportTimeout = 2 * time.Second

// Names returns the names that New takes.
func Names() []string { return []string{"log", "list", "ratings", "weights", "engine", "service"} }

// New returns the stand-in of that name with its faults set from JSON.
// An engine tells the ratings stand-in at that base URL of its answers, unless it is empty.
func New(name, faults, ratingsURL string) (StandIn, error) {
	switch name {
	case "log":
		s := NewLog()
		return s, s.Switches.Apply([]byte(faults))
	case "list":
		s := NewList()
		return s, s.Switches.Apply([]byte(faults))
	case "ratings":
		s := NewRatings()
		return s, s.Switches.Apply([]byte(faults))
	case "weights":
		s := &Weights{}
		return s, s.Switches.Apply([]byte(faults))
	case "engine":
		s := NewEngine(EngineFaults{})
		if ratingsURL != "" {
			s.OnAnswer = reporter(ratingsURL)
		}
		return s, s.Switches.Apply([]byte(faults))
	case "service":
		s := &Service{}
		return s, s.Switches.Apply([]byte(faults))
	}
	return nil, errors.Newf("no stand-in is named %q", name)
}

// reporter returns a function that tells the ratings stand-in of an answer, in a goroutine of its own.
func reporter(baseURL string) func(fake.Answer) {
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
