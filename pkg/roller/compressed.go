package roller

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

// maxContentBytes bounds the decompressed content, so that a malicious bundle cannot exhaust the memory.
const maxContentBytes = 16 << 20

// Compressed is content that is gzipped in JSON: uncompressed, 20,000 customers exceed the store's limit of 1 MB.
type Compressed []byte

// MarshalJSON compresses the content.
func (c Compressed) MarshalJSON() ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(c); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(packed.Bytes())
}

// UnmarshalJSON decompresses the content, up to maxContentBytes.
func (c *Compressed) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	if len(packed) == 0 {
		*c = nil
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return &ContentError{
			Cause: err,
		}
	}
	content, err := io.ReadAll(io.LimitReader(r, maxContentBytes+1))
	if err != nil {
		return &ContentError{
			Cause: err,
		}
	}
	if len(content) > maxContentBytes {
		return &ContentError{
			Cause: fmt.Errorf("decompressed content is over %d bytes", maxContentBytes),
		}
	}
	*c = content
	return nil
}
