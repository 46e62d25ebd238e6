// Package survey defines the questionnaire for teams and generates declarations from their answers.
package survey
