package request

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint returns a hash of what makes a request the same request when it comes again: the caller's workspace, the method, the target and
// the body, or the parts of the prompt if there is no body. It is the same on all instances, and callers can't choose it.
func (r *Request) Fingerprint() uint64 {
	h := sha256.New()
	add := func(field []byte) {
		// The length keeps bytes from moving between fields unnoticed.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	target := r.Target
	if target == "" {
		target = r.Path
	}
	for _, field := range []string{r.Workspace, r.Method, r.Host, target} {
		add([]byte(field))
	}
	add(r.Body)
	if len(r.Body) == 0 && r.Prompt != nil {
		for _, part := range r.Prompt.Parts {
			add([]byte(part.ID))
		}
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
