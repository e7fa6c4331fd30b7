package delivery

import (
	"strconv"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// order checks that events are those of one request, each once and without a gap.
type order struct {
	id      string
	version catalogue.VersionID
	// offset is that of the next token.
	offset int
	// resumed is true until the first event of a resumed stream.
	resumed bool
	// last is the text of the latest token.
	last string
	end  *request.End
}

// next returns the chunk of the event, which has no tokens when the event carries none or repeats the one before.
// The errors are *mismatchError and, for a gap, *cutError.
func (o *order) next(t chatEvent) (request.Chunk, error) {
	if err := o.checkOwn(t); err != nil {
		return request.Chunk{}, err
	}
	text, finish := "", ""
	if len(t.Choices) > 0 {
		text = t.Choices[0].Delta.Content
		if f := t.Choices[0].FinishReason; f != nil {
			finish = *f
		}
	}
	repeat, err := o.checkOffset(*t.Offset, text)
	if err != nil || repeat {
		return request.Chunk{}, err
	}
	o.resumed = false
	k := request.Chunk{Offset: o.offset, Text: text}
	if text != "" {
		k.Tokens = 1
		o.offset++
		o.last = text
	}
	if finish != "" {
		o.end = newEnd(finish, t.Usage, o.offset)
	}
	return k, nil
}

func (o *order) checkOwn(t chatEvent) error {
	if t.ID != o.id {
		return &mismatchError{Field: "id", Want: o.id, Got: t.ID}
	}
	if t.Model != o.version {
		return &mismatchError{Field: "model", Want: string(o.version), Got: string(t.Model)}
	}
	if len(t.Choices) > 1 || len(t.Choices) == 1 && t.Choices[0].Index != 0 {
		return &mismatchError{Field: "choices", Want: "one choice with index 0", Got: strconv.Itoa(len(t.Choices))}
	}
	if t.Offset == nil {
		return &mismatchError{Field: "offset", Want: strconv.Itoa(o.offset), Got: ""}
	}
	if o.end != nil && (len(t.Choices) > 0 && t.Choices[0].Delta.Content != "") {
		return &mismatchError{Field: "event", Want: "[DONE]", Got: "a token after the end"}
	}
	return nil
}

// checkOffset tells whether the event repeats the one before it word for word.
func (o *order) checkOffset(got int, text string) (repeat bool, err error) {
	if got == o.offset {
		return false, nil
	}
	if got == o.offset-1 && !o.resumed && text != "" && text == o.last {
		return true, nil
	}
	mismatch := &mismatchError{Field: "offset", Want: strconv.Itoa(o.offset), Got: strconv.Itoa(got)}
	if got > o.offset {
		// Tokens are missing; the engine may still have them.
		return false, &cutError{cause: mismatch}
	}
	return false, mismatch
}

func newEnd(finish string, u *tokenUsage, tokens int) *request.End {
	end := &request.End{FinishReason: finish, OutputTokens: tokens}
	if u != nil {
		end.InputTokens = max(u.PromptTokens, 0)
		end.OutputTokens = max(u.CompletionTokens, tokens)
	}
	return end
}
