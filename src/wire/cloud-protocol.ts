/**
 * @file The cloud provider's interface: paths, requests to scale out and in, and the lists of machine types and
 * instances. The names of that interface (`rigs`, `hire`, `flavors`, ...) are mapped to the program's own terms in
 * this module and are used nowhere else.
 */
import * as z from 'zod';
import type { CloudInstance, MachineType } from '../core/model/machine.js';
import type { ScaleOutRequest } from '../core/model/scale-out.js';
import { seconds } from '../core/model/time.js';
import { parseBody, type ParseResult } from './parse-result.js';
import { amount } from './schema-parts.js';

/** Paths of the cloud's HTTP interface. */
export const CLOUD_PATHS = { types: '/flavors', machines: '/machines', release: '/machines/return' } as const;

const machineTypeList = z.object({
  builds: z.array(
    z.object({
      label: z.string(),
      vcpus: amount,
      gpus: amount,
      memGb: amount,
      localGb: amount,
      fetchGbPerS: amount,
      rate: amount,
      spotPrice: amount,
      bootS: amount,
      halls: z.array(z.string()),
    }),
  ),
});

const instancePage = z.object({
  rigs: z.array(
    z.object({
      ref: z.string(),
      endpoint: z.string(),
      build: z.string(),
      hall: z.string(),
      loaners: z.boolean(),
      standing: z.enum(['booting', 'running', 'failed']),
      ageS: amount,
    }),
  ),
  hasNext: z.boolean(),
});

const scaleOutResponse = z.object({ rigs: z.array(z.string()) });

/** Decodes the machine types that the cloud offers. */
export function parseMachineTypes(body: unknown): ParseResult<MachineType[]> {
  return parseBody(machineTypeList, body, ({ builds }) =>
    builds.map((type) => ({
      name: type.label,
      cpus: type.vcpus,
      gpus: type.gpus,
      memory: type.memGb,
      cacheGb: type.localGb,
      fetchGbPerS: type.fetchGbPerS,
      price: type.rate,
      spotPrice: type.spotPrice,
      bootTime: seconds(type.bootS),
      zones: type.halls,
    })),
  );
}

/** One page of the cloud's instance list. */
export interface InventoryPage {
  readonly machines: CloudInstance[];
  /** True if further pages follow. */
  readonly hasMore: boolean;
}

/** Decodes one page of the instance list. */
export function parseInventory(body: unknown): ParseResult<InventoryPage> {
  return parseBody(instancePage, body, ({ rigs, hasNext }) => ({
    machines: rigs.map((instance) => ({
      name: instance.ref,
      endpoint: instance.endpoint,
      type: instance.build,
      zone: instance.hall,
      spot: instance.loaners,
      state: instance.standing,
      age: seconds(instance.ageS),
    })),
    hasMore: hasNext,
  }));
}

/**
 * Returns the path of the page of the instance list that follows the instance name `after`, or of the first page if
 * `after` is null.
 */
export const inventoryPath = (after: string | null, limit: number): string =>
  `${CLOUD_PATHS.machines}?${after === null ? '' : `from=${encodeURIComponent(after)}&`}page=${limit}`;

/** Encodes a request to scale out; the request name makes retries idempotent. */
export const encodeScaleOut = (requestName: string, request: ScaleOutRequest): unknown => ({
  hire: requestName,
  build: request.type,
  hall: request.zone,
  loaners: request.spot,
  number: request.count,
});

/** Decodes the names of the instances that a request to scale out has created. */
export const parseScaleOutResponse = (body: unknown): ParseResult<string[]> =>
  parseBody(scaleOutResponse, body, ({ rigs }) => rigs);

/** Encodes a request to scale in by releasing the named instances. */
export const encodeScaleIn = (names: readonly string[]): unknown => ({ rigs: names });
