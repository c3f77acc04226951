package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
)

// maxDecompressedBytes is the size limit of the JSON text of a compressed value.
const maxDecompressedBytes = 32 << 20

// Compress returns the JSON text of a value in the DEFLATE format.
func Compress(value any) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress decodes what Compress has returned into value, which must be a
// pointer.
func Decompress(data []byte, value any) error {
	r := flate.NewReader(bytes.NewReader(data))
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(text, value)
}
