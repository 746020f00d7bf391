package jsonc

import "bytes"

// MaxDepth bounds how many objects and lists may stand in one another. The
// hujson package recurses without a bound, and a stack overflow can't be
// recovered from.
const MaxDepth = 32

// tooDeep returns the offset of the first bracket that opens beyond MaxDepth,
// or -1. It looks past strings and comments and leaves all else unchecked.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			if depth++; depth > MaxDepth {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			i = stringEnd(data, i)
		case '/':
			i = commentEnd(data, i)
		}
	}
	return -1
}

// stringEnd returns the offset of the quote that closes the string at start.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// commentEnd returns the offset of the last byte of the comment at start, or
// start if none begins there.
func commentEnd(data []byte, start int) int {
	rest := data[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return endAfter(data, start+2, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return endAfter(data, start+2, "*/")
	default:
		return start
	}
}

// endAfter returns the offset of the last byte of the first mark from start on.
func endAfter(data []byte, start int, mark string) int {
	i := bytes.Index(data[start:], []byte(mark))
	if i < 0 {
		return len(data)
	}
	return start + i + len(mark) - 1
}
