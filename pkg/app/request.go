package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// requestFlags say which request to send.
type requestFlags struct {
	url     string
	keyFile string
	profile string
	session string
	pin     string
	key     string
	id      string
	service string
	method  string
	path    string
	text    string
	limit   int
	once    bool
}

func (t *Tool) requestCommand(k *kingpin.Application) {
	var f requestFlags
	cmd := k.Command("request", "Send one request as a caller and show its answer, route and cost.")
	cmd.Flag("url", "URL for callers of any instance.").Envar("CARAWAYKNOT_URL").Default("http://127.0.0.1:8080").StringVar(&f.url)
	cmd.Flag("workspace-key-file", "File that holds the workspace key.").Envar("CARAWAYKNOT_WORKSPACE_KEY_FILE").
		Required().StringVar(&f.keyFile)
	cmd.Flag("profile", "Profile of a chat completion.").StringVar(&f.profile)
	cmd.Flag("session", "Session that the request belongs to.").StringVar(&f.session)
	cmd.Flag("pin", "Session pin of an earlier answer.").StringVar(&f.pin)
	cmd.Flag("request-key", "Key under which the request runs at most once.").StringVar(&f.key)
	cmd.Flag("request-id", "Id of the request; one is made up otherwise.").StringVar(&f.id)
	cmd.Flag("deadline", "Time for the answer, in milliseconds.").IntVar(&f.limit)
	cmd.Flag("once", "Never send the request twice; needs --request-key.").BoolVar(&f.once)
	cmd.Flag("service", "Plain service to call in place of a model.").StringVar(&f.service)
	cmd.Flag("method", "Method of a service call.").Default(http.MethodPost).StringVar(&f.method)
	cmd.Flag("path", "Path of a service call.").Default("/").StringVar(&f.path)
	cmd.Arg("text", "What to ask, or the body of a service call; - reads the standard input.").StringVar(&f.text)
	cmd.Action(action(func(ctx context.Context) error { return t.request(ctx, &f) }))
}

func (t *Tool) request(ctx context.Context, f *requestFlags) error {
	if (f.profile == "") == (f.service == "") {
		return &exitError{code: ExitUsage, cause: errors.New("give --profile for a chat completion or --service for a service call")}
	}
	req, err := t.callerRequest(ctx, f)
	if err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		err = errors.Wrap(err, "no answer; check --url, or name another instance")
		return &exitError{code: ExitUnreachable, cause: err}
	}
	defer resp.Body.Close()
	if f.service != "" && resp.Header.Get(desk.HeaderOutcome) == string(request.Ran) {
		_, err = io.Copy(t.Stdout, resp.Body)
	} else if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, replyBytes))
		err = replyError(resp.StatusCode, body)
	} else {
		err = t.stream(resp.Body)
	}
	t.showRoute(resp)
	if err == nil || errors.HasType(err, (*exitError)(nil)) {
		return err
	}
	return &exitError{code: ExitFailed, cause: errors.Wrap(err, "the answer is not whole")}
}

func (t *Tool) callerRequest(ctx context.Context, f *requestFlags) (*http.Request, error) {
	key, err := settings.ReadKey(f.keyFile)
	if err != nil {
		return nil, err
	}
	text := f.text
	if text == "-" {
		b, err := io.ReadAll(t.Stdin)
		if err != nil {
			return nil, errors.Wrap(err, "standard input")
		}
		text = string(b)
	}
	method, path, body := f.method, "/services/"+f.service+"/"+strings.TrimPrefix(f.path, "/"), []byte(text)
	if f.profile != "" {
		method, path = http.MethodPost, "/v1/chat/completions"
		if body, err = json.Marshal(chatOf(text)); err != nil {
			return nil, errors.Wrap(err, "body")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(f.url, "/")+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, errors.Wrap(err, "--url")
	}
	// The tool must not send a request a second time by itself.
	req.GetBody = nil
	f.setHeaders(req.Header, key)
	return req, nil
}

type chatRequest struct {
	Messages []request.Message `json:"messages"`
	Stream   bool              `json:"stream"`
}

func chatOf(text string) chatRequest {
	return chatRequest{Messages: []request.Message{{Role: "user", Content: text}}, Stream: true}
}

func (f *requestFlags) setHeaders(h http.Header, key []byte) {
	h.Set("Authorization", "Bearer "+string(key))
	h.Set("Content-Type", "application/json")
	for name, v := range map[string]string{
		desk.HeaderProfile: f.profile, desk.HeaderSession: f.session, desk.HeaderPin: f.pin,
		desk.HeaderRequestKey: f.key, desk.HeaderRequestID: f.id,
	} {
		if v != "" {
			h.Set(name, v)
		}
	}
	if f.limit != 0 {
		h.Set(desk.HeaderDeadline, fmt.Sprint(f.limit))
	}
	if f.once {
		h.Set(desk.HeaderRepeatable, "false")
	}
}

// streamEvent is what the tool reads of an event.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream prints tokens as they come; without the end mark the answer is not whole.
func (t *Tool) stream(body io.Reader) error {
	defer fmt.Fprintln(t.Stdout)
	r := delivery.NewEventReader(body)
	for {
		ev, err := r.Next()
		if err != nil {
			return err
		}
		if ev.IsEnd() {
			_, err := io.Copy(io.Discard, body)
			return err
		}
		if ev.Name == "error" {
			return replyError(http.StatusOK, ev.Data)
		}
		var s streamEvent
		if err := json.Unmarshal(ev.Data, &s); err != nil {
			return errors.Wrap(err, "event")
		}
		for _, c := range s.Choices {
			fmt.Fprint(t.Stdout, c.Delta.Content)
		}
	}
}

// showRoute tells on the error output how the request was served.
func (t *Tool) showRoute(resp *http.Response) {
	get := func(name string) string {
		if v := resp.Header.Get(name); v != "" {
			return v
		}
		return dash(resp.Trailer.Get(name))
	}
	fmt.Fprintf(t.Stderr, "request %s  version %s  upstream %s  outcome %s  cost %s\n", get(desk.HeaderRequestID),
		get(desk.HeaderVersion), get(desk.HeaderUpstream), get(desk.HeaderOutcome), get(desk.HeaderCost))
	if pin := resp.Header.Get(desk.HeaderPin); pin != "" {
		fmt.Fprintf(t.Stderr, "pin %s\n", pin)
	}
}
