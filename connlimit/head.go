package connlimit

import "bytes"

const (
	// byteCost is charged for each byte of a head: the server's buffer and the strings that are copied from it.
	byteCost = 2
	// lineCost is charged for each line of a head: an entry of the header map (40 bytes at a load of at least 7/16, and the
	// smaller table while the map grows), the key, the value and the slice of values.
	lineCost = 200
	// minLine is the length of the shortest header line.
	minLine = 3
)

// headCost returns the memory that a part of a head costs.
func headCost(n, lines int) int64 { return byteCost*int64(n) + lineCost*int64(lines) }

// headReader finds the end of a head and counts its lines as the bytes arrive, in pieces of any size. A head ends at the
// first empty line after its first line, as for net/http. Empty lines before the first line belong to the head.
type headReader struct {
	begun   bool // a line with content has begun
	lineLen int  // bytes of the current line so far, without a carriage return at its end
	cr      bool // the current line so far ends with a carriage return
	start   [4]byte
	nStart  int
	total   int // bytes of the head so far
}

// http2Start is the beginning of the first line of an HTTP/2 connection.
var http2Start = [4]byte{'P', 'R', 'I', ' '}

// read takes the next bytes. It returns how many belong to the head, the lines that end in them, and whether the head ends.
func (h *headReader) read(p []byte) (n, lines int, end bool) {
	for n < len(p) {
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			h.extend(p[n:])
			n = len(p)
			break
		}
		h.extend(p[n : n+i])
		n += i + 1
		lines++
		empty := h.lineLen == 0
		h.lineLen, h.cr = 0, false
		if empty && h.begun {
			end = true
			break
		}
		h.begun = h.begun || !empty
	}
	h.total += n
	return n, lines, end
}

// extend adds bytes without a line feed to the current line.
func (h *headReader) extend(p []byte) {
	if len(p) == 0 {
		return
	}
	if h.nStart < len(h.start) && (h.nStart > 0 || h.lineLen == 0) {
		h.nStart += copy(h.start[h.nStart:], p)
	}
	if h.cr {
		h.lineLen++
	}
	h.cr = p[len(p)-1] == '\r'
	h.lineLen += len(p)
	if h.cr {
		h.lineLen--
	}
}

// http2 reports whether the head is the preface of HTTP/2.
func (h *headReader) http2() bool { return h.start == http2Start }
