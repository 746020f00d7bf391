package jsonc

import "bytes"

// MaxDepth is the maximum nesting depth of objects and arrays. The hujson package
// recurses without a bound, and a stack overflow cannot be recovered from.
const MaxDepth = 32

// findExcessDepth returns the offset of the first opening bracket that exceeds
// MaxDepth, or -1. It skips strings and comments and does not check the syntax.
func findExcessDepth(data []byte) int {
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

// stringEnd returns the offset of the closing quote of the string that begins at
// start, or len(data) if there is none.
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

// commentEnd returns the offset of the last byte of the comment that begins at
// start, or start if there is no comment. For an unterminated comment it returns
// len(data).
func commentEnd(data []byte, start int) int {
	rest := data[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return delimiterEnd(data, start+2, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return delimiterEnd(data, start+2, "*/")
	default:
		return start
	}
}

// delimiterEnd returns the offset of the last byte of the first delimiter at or
// after start, or len(data) if there is none.
func delimiterEnd(data []byte, start int, delimiter string) int {
	i := bytes.Index(data[start:], []byte(delimiter))
	if i < 0 {
		return len(data)
	}
	return start + i + len(delimiter) - 1
}
