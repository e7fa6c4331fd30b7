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
	// KeyHeader is the name of the header that carries the idempotency key.
	KeyHeader = "Carawayknot-Request-Key"
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 200
	// digestBytes is the length to which SHA-256 digests of keys and bodies are truncated.
	digestBytes = 16
	// uuidTimestampBytes is the length of the leading timestamp of a version 7 UUID, which is in milliseconds since 1970.
	uuidTimestampBytes = 6
)

// fingerprint identifies a request for deduplication.
type fingerprint struct {
	// key is the digest of workspace, service and idempotency key.
	key string
	// keyAt is the wall time embedded in the key.
	keyAt clock.Millis
	// body is the digest of the content of the request.
	body string
}

// KeyTime returns the wall time embedded in an idempotency key, which is a version 7 UUID or has the form
// <milliseconds since 1970>-<text>.
func KeyTime(key string) (clock.Millis, bool) {
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != 7 {
			return 0, false
		}
		var ms int64
		for _, b := range id[:uuidTimestampBytes] {
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

func newFingerprint(r *request.Request) (fingerprint, error) {
	if r.Key == "" {
		return fingerprint{}, refuseKey("a request that must run at most once needs a key")
	}
	if len(r.Key) > maxKeyBytes {
		return fingerprint{}, refuseKey("a key has at most " + strconv.Itoa(maxKeyBytes) + " bytes")
	}
	at, ok := KeyTime(r.Key)
	if !ok {
		return fingerprint{}, refuseKey("want a version 7 UUID, or <milliseconds since 1970>-<text>")
	}
	return fingerprint{key: digest(r.Workspace, r.Service, r.Key), keyAt: at, body: bodyDigest(r)}, nil
}

func refuseKey(detail string) error {
	return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonBadRequest, Field: KeyHeader, Detail: detail}
}

// bodyDigest covers every field in which two requests with the same key must agree.
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

// digest prefixes each part with its length, so that different lists of parts never hash the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(p)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(p))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}
