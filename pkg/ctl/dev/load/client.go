package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/endpoint/rest/sse"
	"github.com/mallowlink/mallowlink/pkg/entry"
	"github.com/mallowlink/mallowlink/pkg/httponce"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
)

// Limits of the answers that are read.
const (
	maxAnswer = 16 << 20 // bytes
	maxEvent  = 1 << 20  // bytes
)

// chatPath is the path of chat completions.
const chatPath = "/v1/chat/completions"

// verdict says how a request ended.
type verdict string

// Verdicts.
const (
	// answered says that the whole answer came and is the request's own.
	answered verdict = "answered"
	// wrong says that the answer is not the request's own.
	wrong verdict = "wrong"
	// cut says that the answer ended early without a word.
	cut verdict = "cut"
	// refused says that an error of the fleet came, in place of an answer or within it.
	refused verdict = "refused"
	// failed says that no answer came.
	failed verdict = "failed"
	// notSent says that too many requests were in flight.
	notSent verdict = "not-sent"
)

// ending is how one request ended.
type ending struct {
	verdict verdict
	// once says that the request may not be repeated.
	once bool
	// code is the result code of a refusal; 0 if it had none. status is its HTTP status.
	code    result.Code
	outcome result.Outcome
	status  int
	detail  string
	// first is the time to the first token of a stream, total the time to the end of the answer.
	first time.Duration
	total time.Duration
	// gaps are the times between tokens.
	gaps []time.Duration
}

// client sends calls.
type client struct {
	http *httponce.Client
}

// send sends one call and reads its answer. Times count from due.
func (c *client) send(ctx context.Context, call call, due time.Time) ending {
	req, err := newRequest(ctx, call)
	if err != nil {
		return ending{verdict: failed, detail: err.Error()}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ending{verdict: failed, detail: err.Error()}
	}
	defer resp.Body.Close()
	var end ending
	switch {
	case resp.StatusCode >= http.StatusMultipleChoices:
		end = readRefusal(resp)
	case call.stream:
		end = readStream(resp, call, due)
	default:
		end = readPlain(resp, call)
	}
	end.status = resp.StatusCode
	end.total = time.Since(due)
	return end
}

func newRequest(ctx context.Context, call call) (*http.Request, error) {
	path, message := chatPath, any(chatBody(call))
	if call.kind == Service {
		path, message = call.path, service.Item{Tag: call.tag, To: call.account.Name}
	}
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, call.entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+call.account.Key)
	if call.kind == Service {
		req.Header.Set(entry.HeaderIdempotencyKey, call.tag)
	} else {
		req.Header.Set(entry.HeaderClass, string(call.kind))
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(entry.HeaderTimeout, time.Until(deadline).String())
	}
	return req, nil
}

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func chatBody(call call) chatRequest {
	return chatRequest{
		Model:     call.model,
		Messages:  []chatMessage{{Role: "user", Content: call.prompt}},
		MaxTokens: call.tokens,
		Stream:    call.stream,
	}
}

// chatAnswer is what is read of a chat answer or of one of its events.
type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Error *failure `json:"error"`
}

// failure is an error of the fleet.
type failure struct {
	Result  result.Code    `json:"result"`
	Outcome result.Outcome `json:"outcome"`
}

// readRefusal reads an error of the fleet.
func readRefusal(resp *http.Response) ending {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	code, _ := strconv.Atoi(resp.Header.Get(entry.HeaderCode))
	return ending{
		verdict: refused,
		code:    result.Code(code),
		outcome: result.Outcome(resp.Header.Get(entry.HeaderOutcome)),
	}
}

func readPlain(resp *http.Response, call call) ending {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return ending{verdict: cut, detail: err.Error()}
	}
	if call.kind == Service {
		return checkReceipt(body, call)
	}
	var answer chatAnswer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 {
		return ending{verdict: wrong, detail: "not a chat answer"}
	}
	return checkText(answer.Choices[0].Message.Content, resp, call)
}

func checkReceipt(body []byte, call call) ending {
	var receipt service.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.Tag != call.tag {
		return ending{verdict: wrong, detail: "receipt is another call's"}
	}
	return ending{verdict: answered}
}

// checkText checks that the text is the engine's answer to the call. If the call names no version,
// the one that the answer's header names counts.
func checkText(text string, resp *http.Response, call call) ending {
	model := call.model
	if named := resp.Header.Get(entry.HeaderAdapter); strings.HasPrefix(named, model+":") {
		model = named
	}
	if err := engine.Check(text, model, "user\n"+call.prompt+"\n", call.tokens); err != nil {
		return ending{verdict: wrong, detail: err.Error()}
	}
	return ending{verdict: answered}
}

// readStream reads a stream of events.
func readStream(resp *http.Response, call call, due time.Time) ending {
	parser := sse.NewParser(resp.Body, maxEvent)
	var text strings.Builder
	var first time.Duration
	var gaps []time.Duration
	last := time.Duration(0)
	end := ending{}
	for end.verdict == "" {
		event, err := parser.Next()
		if err != nil {
			end = ending{verdict: cut, detail: err.Error()}
			break
		}
		if string(event.Data) == sse.EndMarker {
			end = checkText(text.String(), resp, call)
			break
		}
		token, failure := readEvent(event)
		if failure != nil {
			end = ending{verdict: refused, code: failure.Result, outcome: failure.Outcome}
			break
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		now := time.Since(due)
		if first == 0 {
			first = now
		} else {
			gaps = append(gaps, now-last)
		}
		last = now
	}
	end.first, end.gaps = first, gaps
	return end
}

// readEvent returns the text of an event, or the error that it carries.
func readEvent(event sse.Event) (string, *failure) {
	var answer chatAnswer
	// Another form of event has neither text nor error.
	_ = json.Unmarshal(event.Data, &answer)
	if answer.Error != nil {
		return "", answer.Error
	}
	if event.Name == "error" {
		return "", &failure{}
	}
	if len(answer.Choices) == 0 {
		return "", nil
	}
	return answer.Choices[0].Delta.Content, nil
}
