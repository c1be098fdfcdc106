package limiter

import "sync"

// blockBytes is the size of a block of a body. An announced length alone takes at most as much.
const blockBytes = 64 << 10

var blocks = sync.Pool{
	New: func() any {
		return new([blockBytes]byte)
	},
}

// pieces hold the part of a body that has been read: in one buffer if its announced length is short, otherwise in blocks.
type pieces struct {
	short  []byte
	blocks []*[blockBytes]byte
	// length is the number of bytes that have been read; capacity is that of the buffers.
	length   int
	capacity int
}

func (p *pieces) full() bool {
	return p.length == p.capacity
}

// add adds a buffer and returns the capacity.
func (p *pieces) add(announced int) int {
	if announced > 0 && announced <= blockBytes {
		p.short = make([]byte, announced)
		p.capacity = announced
		return p.capacity
	}
	p.blocks = append(p.blocks, blocks.Get().(*[blockBytes]byte))
	p.capacity += blockBytes
	return p.capacity
}

// rest returns the part of the last buffer that is free.
func (p *pieces) rest() []byte {
	if p.short != nil {
		return p.short[p.length:]
	}
	return p.blocks[len(p.blocks)-1][p.length-(len(p.blocks)-1)*blockBytes:]
}

// whole returns the body if it is in one buffer; nil if it must be joined.
func (p *pieces) whole() []byte {
	return p.short
}

// join returns a copy of the body in one buffer.
func (p *pieces) join() []byte {
	text := make([]byte, 0, p.length)
	for _, b := range p.blocks {
		text = append(text, b[:min(blockBytes, p.length-len(text))]...)
	}
	return text
}

// free gives the blocks back.
func (p *pieces) free() {
	for _, b := range p.blocks {
		blocks.Put(b)
	}
	p.blocks = nil
}
