package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mallowlink/mallowlink/pkg/bundle"
	"github.com/mallowlink/mallowlink/pkg/endpoint"
	"github.com/mallowlink/mallowlink/pkg/request"
	"github.com/mallowlink/mallowlink/pkg/result"
)

const (
	// bytesPerToken is used to estimate a prompt's number of tokens from its length in bytes.
	bytesPerToken = 4
	// defaultOutputTokens is the upper bound of a response's tokens if neither caller nor model names one.
	defaultOutputTokens = 1024
	// maxOutputTokens is the upper bound of a response's tokens for models that name none.
	maxOutputTokens = 1 << 20
	// maxChoices is the maximum number of completions that one request may ask for.
	maxChoices = 128
)

// Priorities sent to model engines; lower numbers run first.
const (
	priorityInteractive = 0
	priorityBatch       = 1
)

func (h *Handler) chatCompletion(x *exchange) *result.Error { return h.complete(x, "messages") }

func (h *Handler) textCompletion(x *exchange) *result.Error { return h.complete(x, "prompt") }

// complete handles a request to a model engine. promptField is the name of the body's field that holds the prompt.
func (h *Handler) complete(x *exchange, promptField string) *result.Error {
	if e := x.requireAccount(); e != nil {
		return e
	}
	body, held, e := h.readBody(x.w, x.r)
	defer func() { h.memory.Release(held) }()
	if e != nil {
		return e
	}
	body, e = x.credentials.redactBody(body, x.r.Header.Get("Content-Type"))
	if e != nil {
		return e
	}
	c, e := parseCompletion(body, promptField)
	if e != nil {
		return e
	}
	call, e := h.engineCall(x, c)
	if e != nil {
		return e
	}
	x.w.Header().Set(HeaderAdapter, call.Adapter.String())
	x.w.fromEngine = true
	h.run(x, call)
	return nil
}

// completion is a parsed request body. fields holds all its fields, the others those that mallowlink uses.
type completion struct {
	fields map[string]json.RawMessage
	model  string
	prompt json.RawMessage
	stream bool
	// maxTokens is the caller's upper bound for the tokens of one completion; 0 if it names none.
	maxTokens int64
	choices   int64
}

func parseCompletion(body []byte, promptField string) (completion, *result.Error) {
	c := completion{choices: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return c, malformed("the body is not a JSON object")
	}
	if !c.decodeField("model", &c.model) || c.model == "" {
		return c, malformed("model must be a string")
	}
	c.prompt = c.fields[promptField]
	if len(c.prompt) == 0 || slices.Contains([]string{"null", `""`, "[]"}, string(c.prompt)) {
		return c, malformed(promptField + " is missing")
	}
	if promptField == "messages" && c.prompt[0] != '[' {
		return c, malformed("messages must be an array")
	}
	if !c.decodeField("stream", &c.stream) {
		return c, malformed("stream must be true or false")
	}
	if !c.decodeField("n", &c.choices) || c.choices < 1 || c.choices > maxChoices {
		return c, malformed("n is out of range")
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var bound int64
		if !c.decodeField(name, &bound) || bound < 0 {
			return c, malformed(name + " must be a positive number")
		}
		c.maxTokens = max(c.maxTokens, bound)
	}
	return c, nil
}

// decodeField decodes a field if it is present. It reports false if the field has the wrong type.
func (c *completion) decodeField(name string, into any) bool {
	raw, ok := c.fields[name]
	return !ok || json.Unmarshal(raw, into) == nil
}

func malformed(detail string) *result.Error { return result.New(result.MalformedBody, detail) }

// engineBody returns the body to send to the engine, with the adapter version as the model and the given upper
// bound of output tokens.
func (c *completion) engineBody(adapter endpoint.AdapterVersion, bound int64) ([]byte, *result.Error) {
	model, _ := json.Marshal(adapter.String())
	limit, _ := json.Marshal(bound)
	c.fields["model"] = model
	name := "max_tokens"
	if _, ok := c.fields["max_completion_tokens"]; ok {
		name = "max_completion_tokens"
		delete(c.fields, "max_tokens")
	}
	c.fields[name] = limit
	body, err := json.Marshal(c.fields)
	if err != nil {
		return nil, malformed("the body is not a JSON object")
	}
	return body, nil
}

// engineCall checks the request and returns the call to a model engine.
func (h *Handler) engineCall(x *exchange, c completion) (*request.Call, *result.Error) {
	adapter, version, ok := x.index.resolve(c.model)
	if !ok {
		return nil, result.New(result.UnknownModel, "no such adapter or version")
	}
	if !slices.Contains(adapter.Accounts, x.account) {
		return nil, result.New(result.NotAllowed, "the client account may not use this adapter")
	}
	groups := x.index.groupsFor(adapter)
	if len(groups) == 0 {
		return nil, result.New(result.NoEndpoint, "no endpoint group serves the adapter's model")
	}
	class, e := x.class(bundle.Interactive)
	if e != nil {
		return nil, e
	}
	deadline, e := h.deadline(x, 0)
	if e != nil {
		return nil, e
	}
	model := x.index.bundle.Models[adapter.Model]
	bound := outputTokenLimit(c.maxTokens, int64(model.MaxTokens))
	body, e := c.engineBody(version, bound)
	if e != nil {
		return nil, e
	}
	prompt := int64(len(c.prompt)/bytesPerToken) + 1
	call := h.newCall(x, x.r.URL.Path, body)
	call.Class = class
	call.Deadline = deadline
	call.Groups = groups
	call.Adapter = version
	call.PrefixHash = prefixHash(c.prompt, model.PrefixBytes)
	call.PromptTokens = prompt
	call.Tokens = prompt + bound*c.choices
	call.Idempotent = true
	call.Endpoint.Stream = c.stream
	call.Endpoint.Header = engineHeader(c.stream)
	if class == bundle.Batch {
		call.Endpoint.Priority = priorityBatch
	}
	return call, nil
}

// outputTokenLimit returns the upper bound of a response's tokens: the caller's bound, limited by the model's.
func outputTokenLimit(asked, model int64) int64 {
	switch {
	case asked <= 0 && model <= 0:
		return defaultOutputTokens
	case asked <= 0:
		return model
	case model <= 0:
		return min(asked, maxOutputTokens)
	}
	return min(asked, model)
}

// engineHeader returns the complete header sent to an engine. No header field of the caller is forwarded.
func engineHeader(stream bool) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "application/json")
	if stream {
		header.Set("Accept", "text/event-stream")
	}
	return header
}

// prefixHash returns the hash of the first n bytes of the prompt, by which requests with the same prefix go
// to the same engine. 0 means no such affinity.
func prefixHash(prompt []byte, n int) uint64 {
	if n <= 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(n, len(prompt))])
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ownedBy is the owner in the list of models, a field that OpenAI's format requires.
const ownedBy = "mallowlink"

// models lists the adapters and versions that the caller's client account may use.
func (h *Handler) models(x *exchange) *result.Error {
	if e := x.requireAccount(); e != nil {
		return e
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, adapter := range x.index.bundle.Adapters {
		if !slices.Contains(adapter.Accounts, x.account) {
			continue
		}
		list.add(adapter.Name)
		for _, version := range adapter.Versions {
			list.add(endpoint.AdapterVersion{Adapter: adapter.Name, Version: version}.String())
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return strings.Compare(list.Data[i].ID, list.Data[j].ID) < 0 })
	body, err := json.Marshal(list)
	if err != nil {
		return result.New(result.Internal, "the list could not be written")
	}
	x.w.Header().Set("Content-Type", "application/json")
	// The error is ignored: the caller has disconnected or does not read.
	_ = x.w.respond(http.StatusOK, body)
	return nil
}

func (l *modelList) add(id string) {
	l.Data = append(l.Data, modelEntry{ID: id, Object: "model", OwnedBy: ownedBy})
}
