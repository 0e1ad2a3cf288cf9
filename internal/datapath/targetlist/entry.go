package targetlist

import "fmt"

// DecodeEntry decodes a single entry and checks it as Decode checks those of a list.
func DecodeEntry(b []byte) (e Entry, err error) {
	if err := jsonAPI.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("entry: %w", err)
	}
	var version int64
	return e, (&List{Version: &version, Targets: Entries{e}}).Check()
}
