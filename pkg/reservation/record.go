package reservation

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// StreamName is the log stream that carries the claims.
const StreamName = "claims"

// Record is one record of the claims stream; at most one of its fields is set. An empty one only shows the log's time.
type Record struct {
	Claim   *Claim   `json:",omitempty"`
	Release *Release `json:",omitempty"`
	Done    *Done    `json:",omitempty"`
}

// Claim asks for the right to run the request of a key; the first one in log order wins.
type Claim struct {
	// ID is unique to this claim, and is never appended again by its holder.
	ID string
	// Key and Body are digests; KeyAt is the wall time that the key carries, in milliseconds.
	Key   string
	KeyAt clock.Millis
	Body  string
	// Instance and Incarnation name the process that holds the claim, Request the request.
	Instance    string
	Incarnation int64
	Request     string
}

// Release gives a claim back; its holder has not sent the request and never will.
type Release struct {
	ID  string
	Key string
}

// Done tells what became of the request of a claim.
type Done struct {
	ID      string
	Key     string
	Outcome request.Outcome
	// Reason is set when the holder's caller got a refusal.
	Reason request.Reason `json:",omitempty"`
	// Answer is nil when there was none, or when it was too large to keep; Digest is the SHA-256 of its body.
	Answer *Answer `json:",omitempty"`
	Digest string  `json:",omitempty"`
}

// Answer is a whole answer as the first caller got it.
type Answer struct {
	Status int
	Header http.Header `json:",omitempty"`
	Text   string      `json:",omitempty"`
	Tokens int         `json:",omitempty"`
	Body   []byte      `json:",omitempty"`
	End    request.End
}

// size is about what the answer takes up, in bytes.
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

// name is the id of the claim that the record is about.
func (r *Record) name() string {
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

// decode returns an empty record for bytes that are none, since every reader must make the same of them.
func decode(data []byte) *Record {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return &Record{}
	}
	return r
}
