package standin

import "time"

// Duration is a time.Duration that JSON shows as a string with its unit.
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
