package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/wire"
)

// PrefixHeader carries the hexadecimal hash by which the engine names the prompt's prefix.
const PrefixHeader = "X-Prefix-Hash"

// ask is a decoded completion request.
type ask struct {
	path   string
	header http.Header
	body   string
	model  endpoint.AdapterVersion
	chat   bool
	prompt string
	prefix uint64
	tokens int
	// limited says that the request named the number of tokens.
	limited      bool
	stream       bool
	includeUsage bool
	created      int64
	priority     int
}

// message is a chat message. Its content is a string or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// body is the JSON of both kinds of request.
type body struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Priority            *int            `json:"priority"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseAsk decodes a request.
func parseAsk(r *http.Request, data []byte, prefixBytes int) (ask, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return ask{}, errors.Wrap(err, "decode body")
	}
	name, version, ok := strings.Cut(b.Model, ":")
	if !ok {
		return ask{}, errors.Errorf("model %q names no version", b.Model)
	}
	a := ask{
		path:         r.URL.Path,
		header:       r.Header.Clone(),
		body:         string(data),
		model:        endpoint.AdapterVersion{Adapter: name, Version: version},
		chat:         r.URL.Path == wire.ChatPath,
		tokens:       max(b.MaxTokens, b.MaxCompletionTokens),
		stream:       b.Stream,
		includeUsage: b.StreamOptions.IncludeUsage,
		created:      time.Now().Unix(),
	}
	a.limited = a.tokens > 0
	if !a.limited {
		a.tokens = DefaultTokens
	}
	raw := b.Prompt
	a.prompt = plainText(b.Prompt)
	if a.chat {
		raw = b.Messages
		a.prompt = chatPrompt(b.Messages)
	}
	a.prefix = PrefixHash(string(raw), prefixBytes)
	if prefix, err := strconv.ParseUint(r.Header.Get(PrefixHeader), 16, 64); err == nil {
		a.prefix = prefix
	}
	a.priority, _ = strconv.Atoi(r.Header.Get(wire.Priority))
	if b.Priority != nil {
		a.priority = *b.Priority
	}
	return a, nil
}

// chatPrompt returns the prompt that the engine makes of chat messages: for each, its role, a line
// feed, its text and a line feed.
func chatPrompt(raw json.RawMessage) string {
	var messages []message
	if json.Unmarshal(raw, &messages) != nil {
		return string(raw)
	}
	var out strings.Builder
	for _, m := range messages {
		out.WriteString(m.Role + "\n" + plainText(m.Content) + "\n")
	}
	return out.String()
}

// plainText returns a JSON string's text, and any other JSON as it is.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// usage counts tokens.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// bytesPerToken is what the engine takes for the length of a token of the prompt.
const bytesPerToken = 4

func (a ask) usage() *usage {
	prompt := len(a.prompt)/bytesPerToken + 1
	return &usage{PromptTokens: prompt, CompletionTokens: a.tokens, TotalTokens: prompt + a.tokens}
}

func (a ask) finishReason() *string {
	reason := "stop"
	if a.limited {
		reason = "length"
	}
	return &reason
}

// answer is a plain answer or one event of a stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *turn   `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Text         *string `json:"text,omitempty"`
	Logprobs     *string `json:"logprobs"`
	FinishReason *string `json:"finish_reason"`
}

// turn is the message of a plain chat answer.
type turn struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// delta is the part of a message in one event.
type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

func (a ask) envelope(id, object string, choices ...choice) answer {
	prefix := "cmpl-"
	if a.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return answer{
		ID:      prefix + id,
		Object:  object,
		Created: a.created,
		Model:   a.model.String(),
		Choices: choices,
	}
}

// whole returns a plain answer.
func (a ask) whole(id string, tokens []string) answer {
	text := strings.Join(tokens, "")
	var out answer
	if a.chat {
		out = a.envelope(id, "chat.completion", choice{
			Message:      &turn{Role: "assistant", Content: text},
			FinishReason: a.finishReason(),
		})
	} else {
		out = a.envelope(id, "text_completion", choice{Text: &text, FinishReason: a.finishReason()})
	}
	out.Usage = a.usage()
	return out
}

func (a ask) event(id string, choices ...choice) answer {
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	return a.envelope(id, object, choices...)
}

// roleEvents returns the events before the first token.
func (a ask) roleEvents(id string) [][]byte {
	if !a.chat {
		return nil
	}
	empty := ""
	return [][]byte{encode(a.event(id, choice{Delta: &delta{Role: "assistant", Content: &empty}}))}
}

// tokenEvent returns the event of a token.
func (a ask) tokenEvent(id, token string) []byte {
	if a.chat {
		return encode(a.event(id, choice{Delta: &delta{Content: &token}}))
	}
	return encode(a.event(id, choice{Text: &token}))
}

// finalEvents returns the events after the last token.
func (a ask) finalEvents(id string) [][]byte {
	last := choice{FinishReason: a.finishReason()}
	if a.chat {
		last.Delta = &delta{}
	} else {
		empty := ""
		last.Text = &empty
	}
	events := [][]byte{encode(a.event(id, last))}
	if a.includeUsage {
		final := a.event(id)
		final.Usage = a.usage()
		events = append(events, encode(final))
	}
	return events
}

func encode(a answer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return data
}
