package standin

import "net/http"

// unframed is the value of Transfer-Encoding for which net/http sends neither a Content-Length nor chunks, and no such header.
const unframed = "identity"

// lingerer is a connection that can be reset.
type lingerer interface{ SetLinger(seconds int) error }

// abort ends the handler and breaks the response off: an unframed one by a reset, because its end would look complete.
func abort(w http.ResponseWriter, isUnframed bool) {
	if !isUnframed {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if l, ok := conn.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}
