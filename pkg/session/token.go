package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
)

const (
	tokenVersion = "v1"
	// tokenLimit bounds a token, in bytes.
	tokenLimit = 4096
	// sessionBytes is how much of a SHA-256 names a session.
	sessionBytes = 16
)

// payload is what a token carries.
type payload struct {
	// Session is the digest of workspace and session, so that a pin is of no use elsewhere.
	Session string
	Pins    []Pin
}

// TokenError says why a token is ignored.
type TokenError struct {
	Why string
}

// Error tells why.
func (e *TokenError) Error() string { return "session pin ignored: " + e.Why }

// sessionID names the session of a workspace without showing either.
func sessionID(workspace, session string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(workspace), workspace, session))
	return base64.RawURLEncoding.EncodeToString(sum[:sessionBytes])
}

func sign(key []byte, signed string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(signed))
	return mac.Sum(nil)
}

// seal returns the token for the pins of a session.
func seal(key []byte, session string, pins []Pin) string {
	raw, err := json.Marshal(payload{Session: session, Pins: pins})
	if err != nil {
		return ""
	}
	signed := tokenVersion + "." + base64.RawURLEncoding.EncodeToString(raw)
	return signed + "." + base64.RawURLEncoding.EncodeToString(sign(key, signed))
}

// open returns the pins of a token of this session that one of the keys signed, or a *TokenError.
func open(keys [][]byte, session, token string) ([]Pin, error) {
	if len(token) > tokenLimit {
		return nil, &TokenError{Why: "too long"}
	}
	dot := strings.LastIndexByte(token, '.')
	if dot < 0 || !strings.HasPrefix(token, tokenVersion+".") || dot < len(tokenVersion)+1 {
		return nil, &TokenError{Why: "not of the form v1.payload.signature"}
	}
	signed := token[:dot]
	signature, err := base64.RawURLEncoding.DecodeString(token[dot+1:])
	if err != nil || !verify(keys, signed, signature) {
		return nil, &TokenError{Why: "wrong signature"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(signed[len(tokenVersion)+1:])
	if err != nil {
		return nil, &TokenError{Why: "payload is not base64url"}
	}
	var p payload
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, &TokenError{Why: "payload is not JSON"}
	}
	if p.Session != session {
		return nil, &TokenError{Why: "made for another session or workspace"}
	}
	return p.Pins, nil
}

func verify(keys [][]byte, signed string, signature []byte) bool {
	for _, key := range keys {
		if hmac.Equal(signature, sign(key, signed)) {
			return true
		}
	}
	return false
}
