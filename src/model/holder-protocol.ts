/** Paths and headers of grant and release requests to upstreams that own key ranges. */
import { DEFAULT_HEADER_NAMES } from './header-names.js';

export interface HolderProtocol {
  /** Request paths. */
  readonly grantPath: string;
  readonly releasePath: string;
  /** In the response to a release: the handover data of the owner. Lower case. */
  readonly handoverHeader: string;
  /** In a request: the only run that may accept it; any other responds with 421. Lower case. */
  readonly instanceHeader: string;
  /** In a health response: the run that sent it. Lower case. */
  readonly identityHeader: string;
}

export const DEFAULT_HOLDER_PROTOCOL: HolderProtocol = {
  grantPath: '/ternmount/grant',
  releasePath: '/ternmount/release',
  handoverHeader: 'ternmount-handover',
  instanceHeader: DEFAULT_HEADER_NAMES.instance,
  identityHeader: DEFAULT_HEADER_NAMES.instance,
};
