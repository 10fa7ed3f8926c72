package hostile

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"strings"
	"time"

	"github.com/mallowlink/mallowlink/pkg/relay"
)

// gobLength returns the length of a message as package gob encodes it.
func gobLength(n uint32) string {
	return "\xfc" + string(binary.BigEndian.AppendUint32(nil, n))
}

// peerAttacks returns the attacks on the address for calls between VMs.
func peerAttacks() []attack {
	return []attack{
		{"silent-connections", silentCrowd, hold},
		{"head-that-stops", crowdSize, stopAfter(begin("GET", "/") + fields(1_000_000))},
		{"endless-message", crowdSize, endless(gobLength(1<<29), strings.Repeat("m", sendSize))},
		{"message-that-stops", crowdSize, stopAfter(gobLength(6<<20) + strings.Repeat("m", 1_000_000))},
		{"message-that-stops-at-once", silentCrowd, stopAfter(gobLength(6<<20) + "m")},
		{"endless-empty-messages", crowdSize, endless("", "\x00")},
		{"endless-types", crowdSize, endlessTypes},
		{"endless-unknown-method-name", crowdSize, endlessMethodName},
		{"unread-answers-of-pipelined-calls", crowdSize, unreadCalls("Relay.Pull")},
		{"unread-errors-of-pipelined-calls", crowdSize, unreadCalls("None.None")},
	}
}

// endlessTypes sends definitions of ever more types, as package gob sends them ahead of values of these types.
func endlessTypes(conn net.Conn) {
	var sample bytes.Buffer
	type filler struct{ A, B, C, D string }
	if err := gob.NewEncoder(&sample).Encode(filler{A: "a"}); err != nil {
		panic(err)
	}
	// Byte 0 is the length, below 128. The negative type number follows, in one byte or in two of which the first is its length.
	definition := sample.Bytes()[1 : 1+int(sample.Bytes()[0])]
	definition = definition[1+int(definition[0]>>7):]
	for number := 70; ; {
		var block bytes.Buffer
		for block.Len() < sendSize {
			body := append(gobNegative(number), definition...)
			block.Write(gobUint(uint64(len(body))))
			block.Write(body)
			number++
		}
		if !send(conn, block.String()) {
			return
		}
		time.Sleep(sendPause)
	}
}

// gobUint returns n as package gob encodes unsigned numbers.
func gobUint(n uint64) []byte {
	if n < 128 {
		return []byte{byte(n)}
	}
	digits := bytes.TrimLeft(binary.BigEndian.AppendUint64(nil, n), "\x00")
	return append([]byte{byte(256 - len(digits))}, digits...)
}

// gobNegative returns -n as package gob encodes signed numbers.
func gobNegative(n int) []byte { return gobUint(uint64(n-1)<<1 | 1) }

// endlessMethodName sends calls with method names of a megabyte.
func endlessMethodName(conn net.Conn) {
	encoder := gob.NewEncoder(conn)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for seq := uint64(1); ; seq++ {
		request := rpc.Request{ServiceMethod: "None." + strings.Repeat("n", 1<<20), Seq: seq}
		if encoder.Encode(request) != nil || encoder.Encode(struct{ A int }{1}) != nil {
			return
		}
		time.Sleep(sendPause)
	}
}

// unreadCalls calls a method again and again and reads no answer.
func unreadCalls(method string) func(net.Conn) {
	return func(conn net.Conn) {
		encoder := gob.NewEncoder(conn)
		for seq := uint64(1); ; seq++ {
			err := encoder.Encode(rpc.Request{ServiceMethod: method, Seq: seq})
			if err != nil || encoder.Encode(relay.PullArgs{Board: "none"}) != nil {
				return
			}
			if seq%100 == 0 {
				time.Sleep(sendPause)
			}
		}
	}
}
