// Package document decodes and checks the JSON files that operators write.
//
// Decode is stricter than encoding/json: names of fields match exactly, and unknown fields, repeated fields, null and
// trailing data are refused. Every Error names the document, the field as a JSON path such as hosts[3].slots, and what
// is allowed there. A Checker keeps the first fault that a validation finds.
package document
