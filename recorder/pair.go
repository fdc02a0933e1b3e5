package recorder

import (
	"fmt"
	"strconv"
	"strings"
)

// pair formats one key=value pair and quotes a value that holds a space, a quote or an equals sign.
func pair(key string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if strings.ContainsAny(text, " =\"\n\t") {
		text = strconv.Quote(text)
	}
	return key + "=" + text
}
