package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func figures(name string, peak int64, descriptors int) string {
	return fmt.Sprintf("%s %.1f MB %d descriptors\n", name, float64(peak)/(1<<20), descriptors)
}

// Pacing of clients that send without end: 3 MB a second each, more than a VM's link carries for the crowd.
const (
	sendSize  = 32 << 10
	sendPause = 10 * time.Millisecond
)

// send writes text to the connection and reports whether all of it was written.
func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendEndlessly repeats text until the connection ends or the attack does.
func sendEndlessly(conn net.Conn, text string) {
	block := strings.Repeat(text, max(1, sendSize/len(text)))
	for send(conn, block) {
		time.Sleep(sendPause)
	}
}

// hold keeps the connection, and reads what comes, until it ends or the attack does.
func hold(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// fields returns n bytes of header fields of 1,000 bytes each.
func fields(n int) string {
	field := "X-Filler: " + strings.Repeat("f", 988) + "\r\n"
	return strings.Repeat(field, n/len(field))
}

// begin returns a request line and the fields that every request has.
func begin(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nX-Attempt-Id: hostile\r\n"
}

func plainRequest(path string) string { return begin("GET", path) + "\r\n" }

// callerRequest returns the bytes of an ordinary request.
func callerRequest() string {
	var text bytes.Buffer
	if err := newRequest(hostName, "pipelined", nil).Write(&text); err != nil {
		panic(err)
	}
	return text.String()
}

// endless returns a client that sends start and then text without end.
func endless(start, text string) func(net.Conn) {
	return func(conn net.Conn) {
		if start == "" || send(conn, start) {
			sendEndlessly(conn, text)
		}
	}
}

// stopAfter returns a client that sends text, and then nothing more.
func stopAfter(text string) func(net.Conn) {
	return func(conn net.Conn) {
		if send(conn, text) {
			hold(conn)
		}
	}
}

// headAttacks returns the attacks on any HTTP server that serves the path.
func headAttacks(path string) []attack {
	head, post := begin("GET", path), begin("POST", path)
	return []attack{
		{"head-over-limit", crowdSize, stopAfter(head + fields(200_000) + "\r\n")},
		{"head-that-stops", crowdSize, stopAfter(head + fields(1_000_000))},
		{"first-line-that-stops", silentCrowd, stopAfter("GET /sa")},
		{"head-within-the-limit-that-stops", silentCrowd, stopAfter(head + fields(15_000))},
		{"endless-first-line", crowdSize, endless("GET /", "a")},
		{"endless-fields", crowdSize, endless(head, "X-F: v\r\n")},
		{"endless-distinct-fields", crowdSize, func(conn net.Conn) {
			send(conn, head)
			for n := 0; send(conn, distinctFields(n)); n++ {
				time.Sleep(sendPause)
			}
		}},
		{"endless-field-name", crowdSize, endless(head, "N")},
		{"endless-field-value", crowdSize, endless(head+"X-F: ", "v")},
		{"endless-empty-lines", crowdSize, endless("", "\r\n")},
		{"endless-empty-lines-between-requests", crowdSize, func(conn net.Conn) {
			if !send(conn, head+"\r\n") {
				return
			}
			go hold(conn)
			time.Sleep(300 * time.Millisecond)
			sendEndlessly(conn, "\r\n")
		}},
		{"endless-chunked-body", crowdSize, endless(post+chunked, chunk)},
		{"body-that-stops", crowdSize, stopAfter(post + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("b", 1_000_000))},
		{"silent-connections", silentCrowd, hold},
	}
}

// chunked ends the head of a request with a chunked body, of which chunk is one chunk.
const chunked = "Transfer-Encoding: chunked\r\n\r\n"

var chunk = "4000\r\n" + strings.Repeat("b", 0x4000) + "\r\n"

// bodyAttacks returns the further attacks on a server that reads bodies.
func bodyAttacks(path string) []attack {
	post := begin("POST", path)
	start := post + chunked
	return []attack{
		{"endless-chunk-extension", crowdSize, endless(start+"1;", "e")},
		{"endless-chunk-extensions", crowdSize, endless(start, "1;"+strings.Repeat("e", 1000)+"\r\nb\r\n")},
		{"endless-trailers", crowdSize, endless(start+"0\r\n", "X-T: "+strings.Repeat("t", 100)+"\r\n")},
		{"endless-trailer", crowdSize, endless(start+"0\r\nX-T: ", "t")},
		{"chunks-of-one-byte", crowdSize, endless(start, "1\r\nb\r\n")},
		{"chunked-body-that-stops", crowdSize, stopAfter(start + "400000\r\n" + strings.Repeat("b", 1_000_000))},
		{"body-that-stops-at-once", silentCrowd, stopAfter(post + "Content-Length: 4194304\r\n\r\nb")},
	}
}

// distinctFields returns some fields whose names differ from those of other n.
func distinctFields(n int) string {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "X-%d-%d: v\r\n", n, i)
	}
	return text.String()
}

// unreadAnswers sends the request again and again and reads no answer.
func unreadAnswers(request string) attack {
	return attack{"unread-answers-of-pipelined-requests", crowdSize, func(conn net.Conn) { sendEndlessly(conn, request) }}
}

// unreadState asks for the dump of the process's state and reads no answer.
func unreadState() attack {
	return attack{"unread-state-dumps", crowdSize, func(conn net.Conn) { sendEndlessly(conn, plainRequest("/state")) }}
}
