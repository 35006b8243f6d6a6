package relay

import "github.com/tanagerbridge/tanagerbridge/proto"

// startUpload writes the body of a request beside the reading of the response.
func startUpload(c *conn, body []byte) *proto.Upload {
	upload := proto.NewUpload()
	go func() {
		_, err := c.Write(body)
		upload.End(err)
	}()
	return upload
}
