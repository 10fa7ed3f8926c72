package request

import (
	"bytes"
	"encoding/json"
)

// usage is the number of tokens that an engine reports for a request.
type usage struct {
	total int64
	known bool
}

var usageFieldName = []byte(`"usage"`)

// usageOf reads the usage from a whole answer or from one event of a stream. Most events contain none,
// so it looks for the field name before it parses the JSON.
func usageOf(data []byte) usage {
	if !bytes.Contains(data, usageFieldName) {
		return usage{}
	}
	var body struct {
		Usage *struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &body) != nil || body.Usage == nil {
		return usage{}
	}
	return usage{total: body.Usage.Total, known: true}
}

// unused returns the number of charged tokens to return. This is the whole charge if the request has not
// run, and nothing if it went to a plain service. For a stream without reported usage, each event sent
// to the caller counts as one token; another answer without reported usage keeps its whole charge.
func (r *execution) unused() int64 {
	if !r.possiblyRan() {
		return r.call.Tokens
	}
	if r.call.Adapter.Adapter == "" {
		return 0
	}
	if r.answer.used.known {
		return max(0, r.call.Tokens-r.answer.used.total)
	}
	if !r.call.Endpoint.Stream {
		return 0
	}
	return max(0, r.call.Tokens-r.call.PromptTokens-int64(r.answer.events))
}
