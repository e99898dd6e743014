package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"

	"github.com/amaranthshelf/amaranthshelf/internal/httphead"
)

// oldVersion begins a response of the version before chunks.
const oldVersion = "HTTP/1.0 "

// checkOldHead returns an error if the next head is of HTTP/1.0 and states a transfer coding, which that
// version does not have: the framing is faulty (RFC 9112, section 6.1). The parser of net/http drops the
// field unseen, so that the head is parsed here first. It is read again afterwards.
func (c *Conn) checkOldHead() error {
	if isOld, err := c.beginsWith(oldVersion); !isOld {
		return err
	}
	text := textproto.NewReader(c.br)
	line, err := text.ReadLine()
	if err != nil {
		return err
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return err
	}
	header := http.Header(fields)
	if err := httphead.CheckNames(header); err != nil {
		return err
	}
	if len(header["Transfer-Encoding"]) > 0 {
		return httphead.ErrCoding
	}
	var head bytes.Buffer
	_, _ = head.WriteString(line + "\r\n") // a Buffer takes all
	_ = header.Write(&head)
	_, _ = head.WriteString("\r\n")
	c.br = bufio.NewReaderSize(io.MultiReader(&head, c.br), readBufferBytes)
	return nil
}

// beginsWith reports whether what comes next begins with a text. It waits for no more than it takes to
// tell.
func (c *Conn) beginsWith(text string) (bool, error) {
	for i := range len(text) {
		begin, err := c.br.Peek(i + 1)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || begin[i] != text[i] {
			return false, err
		}
	}
	return true, nil
}
