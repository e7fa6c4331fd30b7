package reservation

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// StreamName is the name of the log stream that carries the claims.
const StreamName = "claims"

// Record is one record of the claims stream with at most one field set; an empty record only makes the log assign it a timestamp.
type Record struct {
	Claim   *Claim   `json:",omitempty"`
	Release *Release `json:",omitempty"`
	Done    *Done    `json:",omitempty"`
}

// Claim requests the right to run the request with a key; the first claim in log order wins.
type Claim struct {
	// ID is unique to this claim; its holder never appends it again.
	ID string
	// Key and Body are digests; KeyAt is the wall time embedded in the key, in milliseconds.
	Key   string
	KeyAt clock.Millis
	Body  string
	// Instance and Incarnation identify the process that holds the claim; Request is the ID of the request.
	Instance    string
	Incarnation int64
	Request     string
}

// Release withdraws a claim whose request was not sent and never will be.
type Release struct {
	ID  string
	Key string
}

// Done records the outcome of the request of a claim.
type Done struct {
	ID      string
	Key     string
	Outcome request.Outcome
	// Reason is set if the first caller got a refusal.
	Reason request.Reason `json:",omitempty"`
	// Answer is nil if there was none or it was too large to keep; Digest is the SHA-256 of its body.
	Answer *Answer `json:",omitempty"`
	Digest string  `json:",omitempty"`
}

// Answer is a complete answer as the first caller received it.
type Answer struct {
	Status int
	Header http.Header `json:",omitempty"`
	Text   string      `json:",omitempty"`
	Tokens int         `json:",omitempty"`
	Body   []byte      `json:",omitempty"`
	End    request.End
}

// size returns the approximate size of the answer in bytes.
func (a *Answer) size() int {
	n := len(a.Text) + len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// claimID returns the ID of the claim that the record refers to.
func (r *Record) claimID() string {
	switch {
	case r.Claim != nil:
		return r.Claim.ID
	case r.Release != nil:
		return r.Release.ID
	case r.Done != nil:
		return r.Done.ID
	}
	return ""
}

func encode(r *Record) ([]byte, error) { return json.Marshal(r) }

// decode returns an empty record for malformed data, because every reader must reach the same state.
func decode(data []byte) *Record {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return &Record{}
	}
	return r
}
