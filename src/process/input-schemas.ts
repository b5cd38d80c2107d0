/**
 * Schemas of values that several kinds of input have: rows of the store, messages and replies. Each states the range besides
 * the type, since whatever passes is used without further checks.
 */
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import {isConnectable} from './address.js';
import type {Milliseconds} from './clock.js';

/** Longest name of an object, process or service; the store allows keys of 200 bytes. */
const maxNameLength = 200;
/** Largest number of tasks of a submission that any settings may allow. */
export const maxTasksLimit = 10_000;
/** Largest number of labels; executors have a kind and a rack. */
const maxLabels = 100;
/** End of the year 2099, which is later than any time of day that a working clock shows. */
const maxWallTimeMs: Milliseconds = Date.UTC(2100, 0, 1) - 1;

/** A name. */
export const nameSchema = z.string().min(1).max(maxNameLength);
/** A name that is sent in headers of HTTP requests: only visible ASCII characters. */
export const headerNameSchema = nameSchema.regex(/^[!-~]+$/v);
/** "IP:port" to which a connection can be made. */
export const connectableAddressSchema = z.string().max(maxNameLength).refine(isConnectable, 'expected an IP number and a port from 1 to 65535');
/** An amount of a resource, as messages carry it. */
export const amountSchema = z.int().min(0).max(maxAmount);
/** A label of an executor, for instance its rack. */
export const labelSchema = z.string().max(maxNameLength);
/** The labels of an executor. */
export const labelsSchema = createListSchema(labelSchema, {max: maxLabels});
/** Wall time in whole milliseconds since 1970. */
export const wallTimeSchema = z.int().min(0).max(maxWallTimeMs);
/** A number that only increases: of messages, versions or revisions. */
export const sequenceNumberSchema = z.int().min(0);

/**
 * Creates the schema of a list. One that is too long is refused before its elements are looked at: to report a wrong element takes thousands
 * of times as long as to receive it.
 */
export function createListSchema<T extends z.ZodType>(element: T, {min = 0, max}: {readonly min?: number; readonly max: number}) {
	return z.array(z.unknown()).min(min).max(max).pipe(z.array(element));
}
