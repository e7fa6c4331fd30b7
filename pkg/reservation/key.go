package reservation

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// KeyField is the name of the field that carries the request key.
	KeyField = "Carawayknot-Request-Key"
	// keyLimit bounds a request key, in bytes.
	keyLimit = 200
	// digestBytes is how much of a SHA-256 names a key or a body.
	digestBytes = 16
	// uuidTimeBytes is the part of a version 7 UUID that counts milliseconds since 1970.
	uuidTimeBytes = 6
)

// ticket is what a request claims.
type ticket struct {
	// key is the digest of workspace, service and request key.
	key string
	// keyAt is the wall time that the key carries, in milliseconds.
	keyAt clock.Millis
	// body is the digest of what was asked.
	body string
}

// KeyTime returns the wall time that a request key carries, in milliseconds: a version 7 UUID carries it by its
// standard, any other key begins with the milliseconds since 1970 and a hyphen.
func KeyTime(key string) (clock.Millis, bool) {
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != 7 {
			return 0, false
		}
		var ms int64
		for _, b := range id[:uuidTimeBytes] {
			ms = ms<<8 | int64(b)
		}
		return clock.Millis(ms), true
	}
	digits, rest, found := strings.Cut(key, "-")
	ms, err := strconv.ParseInt(digits, 10, 64)
	if !found || rest == "" || err != nil || ms <= 0 {
		return 0, false
	}
	return clock.Millis(ms), true
}

func newTicket(r *request.Request) (ticket, error) {
	if r.Key == "" {
		return ticket{}, badKey("a request that must run at most once needs a key")
	}
	if len(r.Key) > keyLimit {
		return ticket{}, badKey("a key has at most " + strconv.Itoa(keyLimit) + " bytes")
	}
	at, ok := KeyTime(r.Key)
	if !ok {
		return ticket{}, badKey("want a version 7 UUID, or <milliseconds since 1970>-<text>")
	}
	return ticket{key: digest(r.Workspace, r.Service, r.Key), keyAt: at, body: bodyDigest(r)}, nil
}

func badKey(detail string) error {
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonBadRequest, Field: KeyField, Detail: detail}
}

// bodyDigest covers all that makes two requests under one key the same.
func bodyDigest(r *request.Request) string {
	parts := []string{r.Method, r.Path, string(r.Body), r.Profile, strconv.Itoa(r.MaxTokens)}
	for _, m := range r.Messages {
		parts = append(parts, m.Role, m.Content)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Options)) {
		parts = append(parts, name, string(r.Options[name]))
	}
	return digest(parts...)
}

// digest separates the parts by their lengths, so that no two lists of parts look alike.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(p)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}
