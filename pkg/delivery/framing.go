package delivery

import "net/http"

// isUnframed reports whether only the end of its connection ends the response, so that an orderly end may be a cut.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
