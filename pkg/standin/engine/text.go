package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Text returns the tokens of the answer to a prompt. The first names the adapter version, the request
// and the prompt, so that it can be told whose answer a text is.
func Text(model, requestID, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		if i == 0 {
			out[i] = fmt.Sprintf("%s|%s|%s", model, requestID, digest(prompt))
			continue
		}
		out[i] = " " + strconv.Itoa(i)
	}
	return out
}

// Check reports whether the text is the whole answer of the model to the prompt, whatever the
// identifier of the request.
func Check(text, model, prompt string, tokens int) error {
	first, _, _ := strings.Cut(text, " ")
	parts := strings.Split(first, "|")
	if len(parts) != 3 {
		return errors.Errorf("text does not name its request: %.64q", text)
	}
	if parts[0] != model {
		return errors.Errorf("text is of model %q, not %q", parts[0], model)
	}
	if parts[2] != digest(prompt) {
		return errors.New("text answers another prompt")
	}
	if want := strings.Join(Text(model, parts[1], prompt, tokens), ""); text != want {
		return errors.Errorf("text has %d bytes, not the %d of %d tokens", len(text), len(want), tokens)
	}
	return nil
}

func digest(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// PrefixHash returns the hash of the first n bytes of the JSON of a prompt, or of the chat messages.
func PrefixHash(prompt string, n int) uint64 { return xxhash.Sum64String(prompt[:min(n, len(prompt))]) }
