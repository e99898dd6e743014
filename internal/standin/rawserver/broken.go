package rawserver

import "fmt"

// BrokenAnswers returns answers with a text as their body that are cut or reset at each byte, have no
// valid status, or state in a name that is no name how the body is framed. Two are whole: those that end
// in good order behind the text, with a length and without.
func BrokenAnswers(text string) []Answer {
	const ok, invalid = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding : chunked\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	out := []Answer{
		{Text: "HTTP/1.1 000 OK\r\n" + length + "\r\n" + text},
		{Text: "HTTP/1.1 600 A\r\n" + length + "\r\n" + text},
		{Text: ok + invalid + length + "\r\n" + inChunks(text, 1)},
	}
	for n := range len(text) + 1 {
		for _, end := range []End{InOrder, Reset} {
			out = append(out, Answer{Text: ok + "\r\n" + text[:n], End: end}, Answer{Text: ok + length + "\r\n" + text[:n], End: end})
		}
		out = append(out, Answer{Text: ok + invalid + "\r\n" + inChunks(text, n)})
	}
	return out
}

// inChunks returns a text in two chunks, the first of n bytes.
func inChunks(text string, n int) string {
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", n, text[:n], len(text)-n, text[n:])
}
