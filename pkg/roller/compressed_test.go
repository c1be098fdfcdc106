package roller

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
)

// Guards against content that changes when it is stored and read back, and against unbounded decompression.
func TestCompressed(t *testing.T) {
	tests := []struct {
		name    string
		content Compressed
		wantErr bool
	}{
		{"content", Compressed(`{"sequence":1}`), false},
		{"none", nil, false},
		{"too large", make(Compressed, maxContentBytes+1), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed, err := json.Marshal(tt.content)
			if err != nil {
				t.Fatal(err)
			}
			var got Compressed
			err = json.Unmarshal(packed, &got)
			var content *ContentError
			if errors.As(err, &content) != tt.wantErr {
				t.Fatalf("got error %v, want an error: %v", err, tt.wantErr)
			}
			if !tt.wantErr && !bytes.Equal(got, tt.content) {
				t.Errorf("got %q, want %q", got, tt.content)
			}
		})
	}
}
