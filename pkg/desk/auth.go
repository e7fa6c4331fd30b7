package desk

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// keyIndex finds workspaces by the digest of their key; the table is rebuilt when the configuration changes.
type keyIndex struct {
	current atomic.Pointer[keyTable]
}

type keyTable struct {
	config   *catalogue.State
	byDigest map[string]*catalogue.Workspace
}

// workspace returns the workspace that the key belongs to, or nil.
func (x *keyIndex) workspace(config *catalogue.State, key string) *catalogue.Workspace {
	if key == "" {
		return nil
	}
	digest := digestOf(key)
	w := x.table(config).byDigest[digest]
	if w == nil || subtle.ConstantTimeCompare([]byte(strings.ToLower(w.KeyDigest)), []byte(digest)) != 1 {
		return nil
	}
	return w
}

func (x *keyIndex) table(config *catalogue.State) *keyTable {
	if t := x.current.Load(); t != nil && t.config == config {
		return t
	}
	t := &keyTable{config: config, byDigest: make(map[string]*catalogue.Workspace, len(config.Workspaces))}
	for _, w := range config.Workspaces {
		t.byDigest[strings.ToLower(w.KeyDigest)] = w
	}
	x.current.Store(t)
	return t
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// bearerToken returns the bearer token of the Authorization header, or an empty string.
func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
