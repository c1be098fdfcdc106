// Command bergamothollow serves prompts and operates the fleet.
package main

import "net/http"

func main() {
	_ = http.StatusOK
}
