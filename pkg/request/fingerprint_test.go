package request

import "testing"

// Guards against different requests being taken for the same one, and against a request that isn't recognised when it comes again.
func TestFingerprint(t *testing.T) {
	base := Request{ID: "r1", Workspace: "stall", Method: "POST", Host: "shop", Target: "/stock?page=1", Credential: "key", Body: []byte("body")}
	for _, c := range []struct {
		name   string
		change func(r *Request)
		same   bool
	}{
		{"another attempt", func(r *Request) { r.ID = "r2" }, true},
		{"another key of the workspace", func(r *Request) { r.Credential = "rotated" }, true},
		{"later, in another session", func(r *Request) { r.ArrivedAt, r.Deadline, r.Session = 7, 9, "s" }, true},
		{"another workspace", func(r *Request) { r.Workspace = "depot" }, false},
		{"another method", func(r *Request) { r.Method = "PUT" }, false},
		{"another host", func(r *Request) { r.Host = "desk" }, false},
		{"another query", func(r *Request) { r.Target = "/stock?page=2" }, false},
		{"another body", func(r *Request) { r.Body = []byte("bodY") }, false},
		{"bytes moved between fields", func(r *Request) { r.Host, r.Target = "shop/", "stock?page=1" }, false},
		{"parts of a prompt beside its body", func(r *Request) { r.Prompt = &Prompt{Parts: []PromptPart{{ID: "p"}}} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := base
			c.change(&r)
			if same := r.Fingerprint() == base.Fingerprint(); same != c.same {
				t.Errorf("the same fingerprint: %t, want %t", same, c.same)
			}
		})
	}
	a, b := Request{Prompt: &Prompt{Parts: []PromptPart{{ID: "a"}}}}, Request{Prompt: &Prompt{Parts: []PromptPart{{ID: "b"}}}}
	if a.Fingerprint() == b.Fingerprint() {
		t.Error("prompts without a body have the same fingerprint, want different ones")
	}
}
