package listing

import "fmt"

// DecodeEntry reads one entry by itself and checks it as those of a list are.
func DecodeEntry(b []byte) (e Entry, err error) {
	if err := format.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("entry: %w", err)
	}
	var version int64
	return e, (&List{Version: &version, Targets: Entries{e}}).Check()
}
