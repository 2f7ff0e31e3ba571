package configuration

import "github.com/valyala/fastjson"

// StrictJSON tells what keeps a text from being JSON to the letter. The parser
// alone takes more: control characters in strings and names, numbers such as 0123
// and NaN. What is kept must be read the same by everybody.
//
//	err := configuration.StrictJSON(body)
func StrictJSON(text []byte) error { return fastjson.ValidateBytes(text) }
