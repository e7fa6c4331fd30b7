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
	// maxTokenBytes bounds the length of a token.
	maxTokenBytes = 4096
	// sessionDigestBytes is the length to which the SHA-256 digest of a session is truncated.
	sessionDigestBytes = 16
)

// payload is the signed content of a token, encoded as JSON.
type payload struct {
	// Session is the digest of workspace and session; it makes the token invalid for any other session.
	Session string
	Pins    []Pin
}

// TokenError reports an invalid token; Why is part of the error text.
type TokenError struct {
	Why string
}

// Error includes the reason.
func (e *TokenError) Error() string { return "invalid session pin: " + e.Why }

// sessionID returns a digest that identifies the session without revealing the names of workspace and session.
func sessionID(workspace, session string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(workspace), workspace, session))
	return base64.RawURLEncoding.EncodeToString(sum[:sessionDigestBytes])
}

func sign(key []byte, signed string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(signed))
	return mac.Sum(nil)
}

// issueToken returns a signed token with the pins of a session, or "" if they can't be encoded.
func issueToken(key []byte, session string, pins []Pin) string {
	payloadJSON, err := json.Marshal(payload{Session: session, Pins: pins})
	if err != nil {
		return ""
	}
	signed := tokenVersion + "." + base64.RawURLEncoding.EncodeToString(payloadJSON)
	return signed + "." + base64.RawURLEncoding.EncodeToString(sign(key, signed))
}

// parseToken returns the pins of a token for this session signed with one of the keys, or a *TokenError.
func parseToken(keys [][]byte, session, token string) ([]Pin, error) {
	if len(token) > maxTokenBytes {
		return nil, &TokenError{Why: "longer than 4096 bytes"}
	}
	signatureDot := strings.LastIndexByte(token, '.')
	if signatureDot < 0 || !strings.HasPrefix(token, tokenVersion+".") || signatureDot < len(tokenVersion)+1 {
		return nil, &TokenError{Why: "not of the form v1.payload.signature"}
	}
	signed := token[:signatureDot]
	signature, err := base64.RawURLEncoding.DecodeString(token[signatureDot+1:])
	if err != nil || !verifySignature(keys, signed, signature) {
		return nil, &TokenError{Why: "invalid signature"}
	}
	payloadJSON, err := base64.RawURLEncoding.DecodeString(signed[len(tokenVersion)+1:])
	if err != nil {
		return nil, &TokenError{Why: "payload is not base64url"}
	}
	var p payload
	if err := json.Unmarshal(payloadJSON, &p); err != nil {
		return nil, &TokenError{Why: "payload is not JSON"}
	}
	if p.Session != session {
		return nil, &TokenError{Why: "issued for another session or workspace"}
	}
	return p.Pins, nil
}

func verifySignature(keys [][]byte, signed string, signature []byte) bool {
	for _, key := range keys {
		if hmac.Equal(signature, sign(key, signed)) {
			return true
		}
	}
	return false
}
