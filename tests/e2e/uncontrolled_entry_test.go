package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The settings of entryd name no memory and no descriptors: its limits are those of 1 GiB.
// The crowd is large enough to exceed that if each head or body is kept.
const (
	entryMemoryMB    = 1073
	entryDescriptors = 4096
	entryHeadBytes   = 64_000 // of 65,536
	entryBodyBytes   = 4 << 20
	entryBodies      = 400
)

func startEntryTarget(t *testing.T) *crowdTarget {
	t.Helper()
	cluster := startCluster(t, plan{instances: 1, engines: 1, bodyBytes: entryBodyBytes})
	c := &crowdTarget{t: t, process: cluster.entry[0], address: cluster.callerAddrs[0], memoryMB: entryMemoryMB, descriptors: entryDescriptors}
	c.request = func() *http.Request {
		r, err := http.NewRequest(http.MethodPost, "http://"+c.address+"/v1/completions", strings.NewReader(`{"model":"writer","prompt":"Write.","max_tokens":2,"seed":7}`))
		assert.NilError(t, err)
		return r
	}
	eventually(t, 10*time.Second, "an ordinary request is answered before the crowd", c.answers)
	return c
}

// entryHead is the start of a request head, up to the crowd's own lines.
const entryHead = "POST /v1/completions HTTP/1.1\r\nHost: h.example\r\n"

// Guards against an entryd process that runs out of memory because parsed heads take many
// times their bytes.
func TestUncontrolledEntryDistinctHeaderLines(t *testing.T) {
	c := startEntryTarget(t)
	var text strings.Builder
	text.WriteString(entryHead + "Content-Length: 10\r\n")
	for n := 0; text.Len() < entryHeadBytes; n++ {
		text.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	text.WriteString("\r\n")
	head := text.String()
	c.meet(crowdConnections, func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, head) })
}

// Guards against memory of entryd that heads without end take.
func TestUncontrolledEntryEndlessHeads(t *testing.T) {
	c := startEntryTarget(t)
	c.meet(crowdConnections, repeat(entryHead, "ab:\r\n"))
}

// Guards against memory of entryd that bodies take while they arrive.
func TestUncontrolledEntryBodies(t *testing.T) {
	c := startEntryTarget(t)
	block := make([]byte, 64<<10)
	c.meet(entryBodies, func(_ int, conn net.Conn) {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", entryHead, entryBodyBytes)
		// The last block is not sent, so that the body stays.
		for n := len(block); n < entryBodyBytes && err == nil; n += len(block) {
			_, err = conn.Write(block)
		}
	})
}
