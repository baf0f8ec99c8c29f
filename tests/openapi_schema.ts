/** Validators of replies, made from the API description. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import {Ajv2020, type ValidateFunction} from 'ajv/dist/2020.js';

import {ROOT} from './emitted_names.js';

interface Media {
  readonly schema: object;
}

interface Operation {
  readonly tags: readonly string[];
  readonly responses: Readonly<
    Record<string, {readonly content?: Readonly<Record<string, Media>>}>
  >;
}

interface OpenApi {
  readonly components: object;
  readonly paths: Readonly<Record<string, Readonly<Record<string, Operation>>>>;
}

/** The API description. */
export const API = JSON.parse(
  readFileSync(join(ROOT, 'docs/openapi.json'), 'utf8'),
) as OpenApi;

/** Refuses members that the description does not name, at every depth. */
function closed(schema: unknown): unknown {
  if (Array.isArray(schema)) return schema.map(closed);
  if (typeof schema !== 'object' || schema === null) return schema;
  const members = Object.entries(schema).map(
    ([key, value]) => [key, closed(value)] as const,
  );
  const copy: Record<string, unknown> = Object.fromEntries(members);
  const describesMembers =
    typeof copy['properties'] === 'object' && copy['type'] === 'object';
  if (describesMembers) copy['additionalProperties'] ??= false;
  return copy;
}

/** Schema of a reply; refers to the components of the API description. */
export function validatorOf(
  path: string,
  method: string,
  status: number,
): ValidateFunction {
  const responses = API.paths[path]?.[method]?.responses;
  const response = responses?.[status] ?? responses?.['default'];
  const [media] = Object.values(response?.content ?? {});
  if (media === undefined) throw new Error(`${method} ${path}: no schema`);
  // Unknown keywords of OpenAPI, such as `example`, are not errors.
  const ajv = new Ajv2020({strict: false, allErrors: true});
  const {components} = API;
  return ajv.compile(closed({...media.schema, components}) as object);
}
