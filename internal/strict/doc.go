// Package strict decodes YAML files and reports every problem with file, line, field and remedy.
//
// Usage:
//
//	var settings Settings
//	document, err := strict.Decode("node.yaml", data, &settings)
//	if err != nil {
//		return err
//	}
//	if problems := settings.problems(); len(problems) > 0 {
//		return document.Locate(problems)
//	}
package strict
