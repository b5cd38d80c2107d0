/**
 * Text as bytes in UTF-8 and back, without any change: a byte order mark is a character like any other, and what has no other
 * form is an error instead of being replaced.
 */
import {err, ok, type Result} from 'neverthrow';

const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
const loneSurrogatePattern = /\p{Surrogate}/v;

/** Decodes text. Fails if the bytes are not UTF-8. */
export function decodeText(bytes: Uint8Array): Result<string, string> {
	try {
		return ok(decoder.decode(bytes));
	} catch {
		return err('it is not text in UTF-8');
	}
}

/** Whether text has a form in UTF-8. Lone surrogates, which JSON can express, have none. */
export function isEncodable(text: string): boolean {
	return !loneSurrogatePattern.test(text);
}
